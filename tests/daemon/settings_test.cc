#include "daemon/settings.h"

#include "support/criterion.h"

using namespace pistachiowalk;
namespace leaf = boost::leaf;

namespace {

const std::string kKey(64, 'a');

std::string ValidText() {
  return "[node]\nname = n1\nplace = p\ndata_center = d\n"
         "[platform]\nstore_url = http://127.0.0.1:1\n"
         "vm_list_url = http://127.0.0.1:2\n"
         "[bundle]\ntrusted_keys = ops:" +
         kKey + "\n";
}

std::string ErrorsOf(const std::string& text,
                     const std::vector<SettingOverride>& overrides = {}) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ReadSettings(text, overrides));
        return std::string();
      },
      [](const SettingsError& error) {
        std::string all;
        for (const std::string& message : error.messages) {
          all += message + "\n";
        }
        return all;
      },
      [] { return std::string("unexpected error"); });
}

struct SettingsCase {
  std::string lines;
  std::string expected_substring;
};

}  // namespace

Test(settings, printed_settings_can_be_read_back) {
  const Settings settings = ReadSettings(ValidText(), {}).value();
  const std::string printed = PrintSettings(settings);
  const Settings again = ReadSettings(printed, {}).value();
  cr_assert(PrintSettings(again) == printed);
}

Test(settings, the_command_line_overrides_the_file) {
  const Settings settings =
      ReadSettings(ValidText(), {{"node.name", "other"}}).value();
  cr_assert(settings.node == NodeId("other"));
}

Test(settings, reports_every_error) {
  const SettingsCase cases[] = {
      {"[listen]\nport = 70000", "listen.port: \"70000\" is not a whole"},
      {"[listen]\naddress = host", "\"host\" is not an IPv4 address"},
      {"[listen]\nprot = 1", "listen.prot: is not a known key (line 11)"},
      {"[node]\nname = n2", "node.name: is set more than once"},
      {"[log]\nlevel = loud", "\"loud\" is not one of debug"},
      {"[bundle]\nrequired_signatures = 2", "but only 1 keys are trusted"},
      {"[stop]\ndrain_timeout_s = 0", "\"0\" is not a whole number from 1"},
      {"[limits", "line 10: is not INI"},
  };
  for (const SettingsCase& item : cases) {
    const std::string errors = ErrorsOf(ValidText() + item.lines + "\n");
    cr_assert(errors.find(item.expected_substring) != std::string::npos,
              "%s: %s", item.lines.c_str(), errors.c_str());
  }
  cr_assert(ErrorsOf("").find("node.name: is missing") != std::string::npos);
  cr_assert(ErrorsOf(ValidText(), {{"platform.store_url", "http://host:1"}})
                .find("is not a URL") != std::string::npos);
}
