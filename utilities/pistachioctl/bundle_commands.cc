#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <iostream>

#include "base/ini_reader.h"
#include "bundle/accepted_bundle.h"
#include "bundle/bundle_parser.h"
#include "bundle/bundle_roll.h"
#include "bundle/customer_key.h"
#include "bundle/reversion.h"
#include "bundle/signed_bundle.h"
#include "command.h"
#include "files.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "store/http_store.h"

namespace pistachiowalk {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace options = boost::program_options;

// Runs `start` on a temporary event loop until it calls back.
template <class Result>
Result RunStoreOperation(
    const std::string& store_url,
    const std::function<void(StorePort&, std::function<void(const Result&)>)>&
        start) {
  EventLoop loop;
  HttpClient client(loop);
  HttpStore store(client, store_url);
  Result answer;
  start(store, [&](const Result& result) {
    answer = result;
    loop.Stop();
  });
  loop.Run();
  return answer;
}

bool IsJson(const CommandArguments& arguments) {
  return arguments.contains("json");
}

// Reads a file with a bundle's text or a signed bundle.
leaf::result<SignedBundle> ReadBundleFile(const std::string& path) {
  BOOST_LEAF_AUTO(content, ReadFile(path));
  if (content.starts_with('{')) {
    return ParseSignedBundle(content);
  }
  return SignedBundle{.text = std::move(content), .signatures = {}};
}

void PrintFaults(const std::vector<BundleFault>& faults, bool is_json) {
  if (!is_json) {
    for (const BundleFault& fault : faults) {
      std::cout << FormatBundleFault(fault) << '\n';
    }
    return;
  }
  json::array items;
  for (const BundleFault& fault : faults) {
    items.push_back(json::object{{"where", fault.where},
                                 {"message", fault.message},
                                 {"line", fault.line}});
  }
  std::cout << json::serialize(json::object{{"valid", faults.empty()},
                                            {"faults", std::move(items)}})
            << '\n';
}

leaf::result<ExitCode> RunKeygen(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(prefix, RequiredOption(arguments, "out"));
  const SigningKeyPair keys = GenerateSigningKeyPair();
  BOOST_LEAF_CHECK(WriteNewFile(prefix + ".key", keys.secret_key_hex + "\n",
                                FileAccess::kPrivate));
  BOOST_LEAF_CHECK(WriteNewFile(prefix + ".pub", keys.public_key_hex + "\n",
                                FileAccess::kPublic));
  std::cout << keys.public_key_hex << '\n';
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> RunCheck(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(path, RequiredOption(arguments, "file"));
  BOOST_LEAF_AUTO(file, ReadBundleFile(path));
  const BundleParseOutcome outcome = ParseBundle(file.text);
  PrintFaults(outcome.faults, IsJson(arguments));
  if (!outcome.bundle) {
    return ExitCode::kFailed;
  }
  if (!IsJson(arguments)) {
    std::cout << fmt::format(
        "{} version {}: {} places, {} services, {} customers; no faults\n",
        outcome.bundle->name, outcome.bundle->version,
        outcome.bundle->places.size(), outcome.bundle->services.size(),
        outcome.bundle->customers.size());
  }
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> RunSign(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(path, RequiredOption(arguments, "file"));
  BOOST_LEAF_AUTO(key_id, RequiredOption(arguments, "key-id"));
  BOOST_LEAF_AUTO(key_path, RequiredOption(arguments, "key"));
  BOOST_LEAF_AUTO(out, RequiredOption(arguments, "out"));
  BOOST_LEAF_AUTO(file, ReadBundleFile(path));
  const BundleParseOutcome outcome = ParseBundle(file.text);
  if (!outcome.bundle) {
    PrintFaults(outcome.faults, IsJson(arguments));
    return ExitCode::kFailed;
  }
  BOOST_LEAF_AUTO(secret, ReadFile(key_path));
  secret.erase(secret.find_last_not_of(" \r\n") + 1);
  BOOST_LEAF_AUTO(signed_bundle,
                  SignBundle(std::move(file), SigningKeyId(key_id), secret));
  BOOST_LEAF_CHECK(WriteNewFile(
      out, SerializeSignedBundle(signed_bundle) + "\n", FileAccess::kPublic));
  std::cout << fmt::format("{}: version {}, {} signatures\n", out,
                           outcome.bundle->version,
                           signed_bundle.signatures.size());
  return ExitCode::kSuccess;
}

std::string_view RollStatusName(RollStatus status) {
  switch (status) {
    case RollStatus::kAccepted:
      return "accepted";
    case RollStatus::kLostRace:
      return "lost-race";
    case RollStatus::kUnavailable:
      return "unavailable";
    case RollStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ExitCode PrintRollOutcome(const RollOutcome& outcome,
                          BundleVersion version,
                          bool is_json) {
  if (is_json) {
    std::cout << json::serialize(json::object{
                     {"status", RollStatusName(outcome.status)},
                     {"version", version},
                     {"standing_version", outcome.standing_version}})
              << '\n';
  }
  std::ostream& out = is_json ? std::cerr : std::cout;
  switch (outcome.status) {
    case RollStatus::kAccepted:
      out << fmt::format("version {} is accepted\n", version);
      return ExitCode::kSuccess;
    case RollStatus::kLostRace:
      out << fmt::format(
          "version {} was not accepted: version {} stands in the store; look "
          "at it with `pistachioctl bundle show`, then roll a higher version\n",
          version, outcome.standing_version);
      return ExitCode::kLostRace;
    case RollStatus::kUnavailable:
      out << "the store cannot be reached; nothing was changed\n";
      return ExitCode::kFailed;
    case RollStatus::kUnknown:
      out << "the store's answer was lost; run the same command again, which "
             "reads before it writes\n";
      return ExitCode::kUnknown;
  }
  return ExitCode::kUnknown;
}

leaf::result<ExitCode> RunRoll(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(path, RequiredOption(arguments, "file"));
  BOOST_LEAF_AUTO(store_url, RequiredOption(arguments, "store"));
  BOOST_LEAF_AUTO(file, ReadBundleFile(path));
  if (file.signatures.empty()) {
    return leaf::new_error(
        UsageError{path + " is not signed; use `pistachioctl bundle sign`"});
  }
  const BundleParseOutcome parsed = ParseBundle(file.text);
  if (!parsed.bundle) {
    PrintFaults(parsed.faults, IsJson(arguments));
    return ExitCode::kFailed;
  }
  const BundleVersion version = parsed.bundle->version;
  const auto outcome = RunStoreOperation<RollOutcome>(
      store_url, [&](StorePort& store, auto callback) {
        RollBundle(store, version, file, std::move(callback));
      });
  return PrintRollOutcome(outcome, version, IsJson(arguments));
}

leaf::result<ExitCode> RunReversion(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(path, RequiredOption(arguments, "file"));
  BOOST_LEAF_AUTO(number, RequiredOption(arguments, "version"));
  BOOST_LEAF_AUTO(out, RequiredOption(arguments, "out"));
  BundleVersion version = 0;
  const char* end = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return leaf::new_error(
        UsageError{"--version is a whole number of 1 or more"});
  }
  BOOST_LEAF_AUTO(file, ReadBundleFile(path));
  const std::optional<std::string> text =
      ReplaceBundleVersion(file.text, version);
  const BundleParseOutcome outcome = ParseBundle(text ? *text : file.text);
  if (!text || !outcome.bundle) {
    PrintFaults(outcome.faults, IsJson(arguments));
    return ExitCode::kFailed;
  }
  BOOST_LEAF_CHECK(WriteNewFile(out, *text, FileAccess::kPublic));
  std::cout << fmt::format("{}: version {}, not signed yet\n", out, version);
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> RunShow(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(store_url, RequiredOption(arguments, "store"));
  const auto accepted = RunStoreOperation<AcceptedBundle>(
      store_url, [](StorePort& store, auto callback) {
        ReadAcceptedBundle(store, std::move(callback));
      });
  if (accepted.status != StoreStatus::kOk) {
    std::cerr << "the store cannot be reached\n";
    return ExitCode::kFailed;
  }
  if (accepted.revision == 0) {
    std::cerr << "no bundle has been rolled yet\n";
    return ExitCode::kFailed;
  }
  if (!accepted.text) {
    std::cerr << "the accepted bundle cannot be read; roll a higher version\n";
    return ExitCode::kFailed;
  }
  const SignedBundle accepted_bundle{*accepted.text,
                                     accepted.stored.signatures};
  if (IsJson(arguments)) {
    std::cout << SerializeSignedBundle(accepted_bundle) << '\n';
    return ExitCode::kSuccess;
  }
  for (const BundleSignature& signature : accepted_bundle.signatures) {
    std::cout << "; signed by " << signature.key.value() << '\n';
  }
  std::cout << accepted_bundle.text;
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> RunHashKey(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(key, RequiredOption(arguments, "key"));
  std::cout << HashCustomerKey(key) << '\n';
  return ExitCode::kSuccess;
}

options::options_description Options(
    std::initializer_list<std::pair<const char*, const char*>> values) {
  options::options_description description;
  for (const auto& [name, help] : values) {
    description.add_options()(name, options::value<std::string>(), help);
  }
  description.add_options()("json", "print JSON");
  return description;
}

}  // namespace

std::vector<Command> BundleCommands() {
  return {
      {"bundle keygen", "--out PREFIX",
       "makes a signing key: PREFIX.key (secret) and PREFIX.pub",
       Options({{"out", "prefix of the two files"}}), RunKeygen},
      {"bundle check", "FILE", "names every fault of a bundle and its line",
       Options({{"file", "bundle"}}), RunCheck},
      {"bundle sign", "FILE --key-id ID --key FILE --out FILE",
       "adds a signature to a bundle or a signed bundle",
       Options({{"file", "bundle or signed bundle"},
                {"key-id", "name of the key in the nodes' settings"},
                {"key", "file with the secret key"},
                {"out", "signed bundle to write"}}),
       RunSign},
      {"bundle reversion", "FILE --version N --out FILE",
       "gives older content a higher version, to be signed and rolled",
       Options({{"file", "bundle or signed bundle with the older content"},
                {"version", "a version above the one in force"},
                {"out", "bundle to write"}}),
       RunReversion},
      {"bundle roll", "SIGNED --store URL",
       "commits a signed bundle; the nodes put it in force within seconds",
       Options({{"file", "signed bundle"},
                {"store", "URL of the platform's store"}}),
       RunRoll},
      {"bundle show", "--store URL", "prints the accepted bundle",
       Options({{"store", "URL of the platform's store"}}), RunShow},
      {"customer hash-key", "KEY", "prints the key_hash of a customer's key",
       Options({{"key", "bearer key of the customer"}}), RunHashKey},
  };
}

}  // namespace pistachiowalk
