#include "daemon/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <functional>
#include <map>
#include <set>

#include "base/ini_reader.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

// Parses and assigns a value. Returns an error message, or "" on success.
using Assign = std::function<std::string(const std::string&, Settings&)>;
using Print = std::function<std::string(const Settings&)>;

// How one key of the settings is parsed, validated and printed.
struct SettingRule {
  std::string path;
  bool is_required = false;
  Assign assign;
  Print print;
};

template <class Number>
SettingRule NumberRule(std::string path,
                       uint64_t minimum,
                       uint64_t maximum,
                       Number Settings::*member) {
  const auto assign = [=](const std::string& text, Settings& settings) {
    uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number < minimum ||
        number > maximum) {
      return fmt::format("\"{}\" is not a whole number from {} to {}", text,
                         minimum, maximum);
    }
    settings.*member = Number(number);
    return std::string();
  };
  const auto print = [member](const Settings& settings) {
    if constexpr (std::is_integral_v<Number>) {
      return std::to_string(settings.*member);
    } else {
      return std::to_string((settings.*member).count());
    }
  };
  return {std::move(path), false, assign, print};
}

template <class Name>
SettingRule NameRule(std::string path, Name Settings::*member) {
  const auto assign = [member](const std::string& text, Settings& settings) {
    const bool is_name =
        !text.empty() &&
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
            std::string::npos;
    if (!is_name) {
      return fmt::format(
          "\"{}\" is not a name of lower-case letters, digits and hyphens",
          text);
    }
    settings.*member = Name(text);
    return std::string();
  };
  const auto print = [member](const Settings& settings) {
    return (settings.*member).value();
  };
  return {std::move(path), true, assign, print};
}

bool IsAddress(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

// Whether `url` is http://<IPv4>:<port> without a path.
bool IsBaseUrl(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return false;
  }
  const std::string rest = url.substr(kScheme.size());
  const size_t colon = rest.find(':');
  if (colon == std::string::npos || !IsAddress(rest.substr(0, colon))) {
    return false;
  }
  uint16_t port = 0;
  const char* end = rest.data() + rest.size();
  const auto result = std::from_chars(rest.data() + colon + 1, end, port);
  return result.ec == std::errc() && result.ptr == end && port != 0;
}

SettingRule UrlRule(std::string path, std::string Settings::*member) {
  const auto assign = [member](const std::string& text, Settings& settings) {
    if (!IsBaseUrl(text)) {
      return fmt::format(
          "\"{}\" is not a URL of the form http://IP-ADDRESS:PORT", text);
    }
    settings.*member = text;
    return std::string();
  };
  const auto print = [member](const Settings& settings) {
    return settings.*member;
  };
  return {std::move(path), true, assign, print};
}

SettingRule AddressRule(std::string path, std::string Settings::*member) {
  const auto assign = [member](const std::string& text, Settings& settings) {
    if (!IsAddress(text)) {
      return fmt::format("\"{}\" is not an IPv4 address", text);
    }
    settings.*member = text;
    return std::string();
  };
  const auto print = [member](const Settings& settings) {
    return settings.*member;
  };
  return {std::move(path), false, assign, print};
}

std::string AssignTrustedKeys(const std::string& text, Settings& settings) {
  constexpr size_t kPublicKeyHexDigits = 64;
  std::vector<TrustedKey> keys;
  for (const std::string& item : SplitList(text)) {
    const size_t colon = item.find(':');
    const std::string hex =
        colon == std::string::npos ? "" : item.substr(colon + 1);
    if (colon == 0 || hex.size() != kPublicKeyHexDigits ||
        hex.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return fmt::format(
          "\"{}\" is not name:key with a key of 64 lower-case hexadecimal "
          "digits",
          item);
    }
    keys.push_back(TrustedKey{.id = SigningKeyId(item.substr(0, colon)),
                              .public_key_hex = hex});
  }
  if (keys.empty()) {
    return "is empty; at least one key is required";
  }
  settings.signatures.trusted_keys = std::move(keys);
  return "";
}

std::string PrintTrustedKeys(const Settings& settings) {
  std::string text;
  for (const TrustedKey& key : settings.signatures.trusted_keys) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : ", ", key.id.value(),
                        key.public_key_hex);
  }
  return text;
}

std::string AssignClusterKeys(const std::string& text, Settings& settings) {
  std::vector<ClusterKey> keys;
  for (const std::string& item : SplitList(text)) {
    const auto key = ParseClusterKey(item);
    if (!key) {
      // NOTE: The message omits the value because it is secret.
      return "contains a key that is not 64 hexadecimal digits";
    }
    keys.push_back(*key);
  }
  settings.cluster_keys = std::move(keys);
  return "";
}

// NOTE: The keys are secret, so only their number is printed.
std::string PrintClusterKeys(const Settings& settings) {
  return settings.cluster_keys.empty()
             ? ""
             : fmt::format("({} not shown)", settings.cluster_keys.size());
}

std::string AssignClusterSeeds(const std::string& text, Settings& settings) {
  std::vector<NodeAddress> seeds;
  for (const std::string& item : SplitList(text)) {
    const auto seed = ParseNodeAddress(item);
    if (!seed) {
      return fmt::format("\"{}\" is not IP-ADDRESS:PORT", item);
    }
    seeds.push_back(*seed);
  }
  settings.cluster_seeds = std::move(seeds);
  return "";
}

std::string PrintClusterSeeds(const Settings& settings) {
  std::string text;
  for (const NodeAddress& seed : settings.cluster_seeds) {
    text += (text.empty() ? "" : ", ") + FormatNodeAddress(seed);
  }
  return text;
}

struct LogLevelSpelling {
  std::string_view text;
  LogLevel level;
};

constexpr LogLevelSpelling kLogLevels[] = {{"debug", LogLevel::kDebug},
                                           {"info", LogLevel::kInfo},
                                           {"warning", LogLevel::kWarning},
                                           {"error", LogLevel::kError}};

std::string AssignLogLevel(const std::string& text, Settings& settings) {
  for (const LogLevelSpelling& spelling : kLogLevels) {
    if (text == spelling.text) {
      settings.log_level = spelling.level;
      return "";
    }
  }
  return fmt::format("\"{}\" is not one of debug, info, warning, error", text);
}

std::string PrintLogLevel(const Settings& settings) {
  for (const LogLevelSpelling& spelling : kLogLevels) {
    if (settings.log_level == spelling.level) {
      return std::string(spelling.text);
    }
  }
  return "";
}

std::string AssignRequiredSignatures(const std::string& text,
                                     Settings& settings) {
  size_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number == 0) {
    return fmt::format("\"{}\" is not a whole number of 1 or more", text);
  }
  settings.signatures.required_signatures = number;
  return "";
}

std::vector<SettingRule> MakeRules() {
  constexpr uint64_t kMaximumSeconds = 3600;
  return {
      NameRule("node.name", &Settings::node),
      NameRule("node.place", &Settings::place),
      NameRule("node.data_center", &Settings::data_center),
      AddressRule("listen.address", &Settings::listen_address),
      NumberRule("listen.port", 0, 65535, &Settings::listen_port),
      UrlRule("platform.store_url", &Settings::store_url),
      UrlRule("platform.vm_list_url", &Settings::vm_list_url),
      NumberRule("platform.vm_list_interval_ms", 100, 60000,
                 &Settings::vm_list_interval),
      {"bundle.trusted_keys", true, AssignTrustedKeys, PrintTrustedKeys},
      {"bundle.required_signatures", false, AssignRequiredSignatures,
       [](const Settings& settings) {
         return std::to_string(settings.signatures.required_signatures);
       }},
      AddressRule("cluster.address", &Settings::cluster_address),
      NumberRule("cluster.port", 0, 65535, &Settings::cluster_port),
      {"cluster.secret_keys", false, AssignClusterKeys, PrintClusterKeys},
      {"cluster.seeds", false, AssignClusterSeeds, PrintClusterSeeds},
      NumberRule("limits.maximum_body_bytes", 1024, 64 * 1024 * 1024,
                 &Settings::maximum_body_bytes),
      NumberRule("limits.maximum_held_body_bytes", 1024 * 1024,
                 int64_t{1024} * 1024 * 1024,
                 &Settings::maximum_held_body_bytes),
      NumberRule("limits.maximum_header_bytes", 2048, 1024 * 1024,
                 &Settings::maximum_header_bytes),
      NumberRule("limits.maximum_connections", 8, 15000,
                 &Settings::maximum_connections),
      NumberRule("limits.request_timeout_s", 1, kMaximumSeconds,
                 &Settings::request_timeout),
      NumberRule("limits.idle_timeout_s", 1, kMaximumSeconds,
                 &Settings::idle_timeout),
      NumberRule("stop.drain_timeout_s", 1, kMaximumSeconds,
                 &Settings::drain_timeout),
      NumberRule("stop.handover_delay_ms", 0, 3600000,
                 &Settings::handover_delay),
      {"log.level", false, AssignLogLevel, PrintLogLevel},
  };
}

const std::vector<SettingRule>& Rules() {
  static const std::vector<SettingRule> rules = MakeRules();
  return rules;
}

const SettingRule* FindRule(const std::string& path) {
  for (const SettingRule& rule : Rules()) {
    if (rule.path == path) {
      return &rule;
    }
  }
  return nullptr;
}

// A value and its origin, which error messages name.
struct SettingSource {
  std::string path;
  std::string value;
  std::string origin;
};

std::vector<SettingSource> CollectSources(
    const IniText& text,
    const std::vector<SettingOverride>& overrides,
    std::vector<std::string>& errors) {
  std::map<std::string, SettingSource> by_path;
  for (const IniEntry& entry : text.entries) {
    const std::string path = entry.section + "." + entry.name;
    const std::string origin = fmt::format("line {}", entry.line);
    const bool is_new =
        by_path.emplace(path, SettingSource{path, entry.value, origin}).second;
    if (!is_new) {
      errors.push_back(
          fmt::format("{}: is set more than once ({})", path, origin));
    }
  }
  for (const SettingOverride& item : overrides) {
    by_path[item.path] = SettingSource{item.path, item.value, "command line"};
  }
  std::vector<SettingSource> sources;
  for (auto& [path, source] : by_path) {
    sources.push_back(std::move(source));
  }
  return sources;
}

void CheckConsistency(const Settings& settings,
                      std::vector<std::string>& errors) {
  const SignaturePolicy& policy = settings.signatures;
  if (!policy.trusted_keys.empty() &&
      policy.required_signatures > policy.trusted_keys.size()) {
    errors.push_back(fmt::format(
        "bundle.required_signatures: requires {} signatures, but only {} keys "
        "are trusted",
        policy.required_signatures, policy.trusted_keys.size()));
  }
}

}  // namespace

leaf::result<Settings> ReadSettings(
    std::string_view ini_text,
    const std::vector<SettingOverride>& overrides) {
  SettingsError error;
  Settings settings;
  std::set<std::string> seen;
  const IniText text = ReadIni(ini_text);
  for (const int line : text.malformed_lines) {
    error.messages.push_back(
        fmt::format("line {}: is not INI (a [section], a `name = value`, or "
                    "a comment)",
                    line));
  }
  for (const SettingSource& source :
       CollectSources(text, overrides, error.messages)) {
    seen.insert(source.path);
    const SettingRule* rule = FindRule(source.path);
    if (rule == nullptr) {
      error.messages.push_back(fmt::format("{}: is not a known key ({})",
                                           source.path, source.origin));
      continue;
    }
    const std::string message = rule->assign(source.value, settings);
    if (!message.empty()) {
      error.messages.push_back(
          fmt::format("{}: {} ({})", source.path, message, source.origin));
    }
  }
  for (const SettingRule& rule : Rules()) {
    if (rule.is_required && !seen.contains(rule.path)) {
      error.messages.push_back(fmt::format("{}: is missing", rule.path));
    }
  }
  CheckConsistency(settings, error.messages);
  if (!error.messages.empty()) {
    return leaf::new_error(std::move(error));
  }
  return settings;
}

leaf::result<SettingOverride> ParseSettingOverride(std::string_view text) {
  const size_t equals = text.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return leaf::new_error(
        SettingsError{{fmt::format("\"{}\" is not section.name=value", text)}});
  }
  return SettingOverride{.path = std::string(text.substr(0, equals)),
                         .value = std::string(text.substr(equals + 1))};
}

std::string PrintSettings(const Settings& settings) {
  std::string text;
  std::string section;
  for (const SettingRule& rule : Rules()) {
    const size_t dot = rule.path.find('.');
    const std::string rule_section = rule.path.substr(0, dot);
    if (rule_section != section) {
      section = rule_section;
      text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section);
    }
    text += fmt::format("{} = {}\n", rule.path.substr(dot + 1),
                        rule.print(settings));
  }
  return text;
}

}  // namespace pistachiowalk
