#include <boost/leaf.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/event_log.h"
#include "daemon/entry_daemon.h"
#include "daemon/settings.h"
#include "net/http_server.h"

// Command line of pistachiowalkd, the process of an entry node.
namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kExitSuccess = 0;
constexpr int kExitStartupFailed = 1;
constexpr int kExitUsage = 2;

options::options_description MakeOptions() {
  options::options_description description(
      "pistachiowalkd: serves callers and routes to endpoints.\n\n"
      "Usage: pistachiowalkd --config FILE [--set section.name=value]...\n\n"
      "SIGTERM drains and exits 0. A second signal aborts the open requests "
      "and "
      "exits 3; if stop.drain_timeout_s expires, it exits 4.\n\nOptions");
  description.add_options()("help,h", "show this help")(
      "config,c", options::value<std::string>(), "settings file (INI)")(
      "set,s", options::value<std::vector<std::string>>()->composing(),
      "section.name=value; overrides the file")(
      "check-settings", "validate the settings and exit")(
      "print-settings", "print the effective settings and exit");
  return description;
}

leaf::result<Settings> LoadSettings(const options::variables_map& values) {
  std::string text;
  if (values.contains("config")) {
    const std::string path = values["config"].as<std::string>();
    std::ifstream file(path);
    if (!file) {
      return leaf::new_error(SettingsError{{path + ": cannot be opened"}});
    }
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
  }
  std::vector<SettingOverride> overrides;
  if (values.contains("set")) {
    for (const auto& item : values["set"].as<std::vector<std::string>>()) {
      BOOST_LEAF_AUTO(parsed, ParseSettingOverride(item));
      overrides.push_back(std::move(parsed));
    }
  }
  return ReadSettings(text, overrides);
}

leaf::result<int> Serve(const options::variables_map& values) {
  BOOST_LEAF_AUTO(settings, LoadSettings(values));
  if (values.contains("check-settings")) {
    std::cout << "the settings are valid\n";
    return kExitSuccess;
  }
  if (values.contains("print-settings")) {
    std::cout << PrintSettings(settings);
    return kExitSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  InitializeLogging(settings.log_level);
  BOOST_LEAF_AUTO(daemon, EntryDaemon::Create(std::move(settings)));
  std::cout << "listening on port " << daemon->port() << std::endl;
  return static_cast<int>(daemon->Run());
}

int Main(int argc, char** argv) {
  const options::options_description description = MakeOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "pistachiowalkd: " << error.what()
              << "; see pistachiowalkd --help\n";
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return kExitSuccess;
  }
  return leaf::try_handle_all(
      [&] { return Serve(values); },
      [](const SettingsError& error) {
        for (const std::string& message : error.messages) {
          std::cerr << "pistachiowalkd: settings: " << message << '\n';
        }
        return kExitUsage;
      },
      [](const NetError& error) {
        std::cerr << "pistachiowalkd: " << error.detail << '\n';
        return kExitStartupFailed;
      },
      [] {
        std::cerr << "pistachiowalkd: cannot start: unknown error\n";
        return kExitStartupFailed;
      });
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  return pistachiowalk::Main(argc, argv);
}
