#include <unistd.h>

#include <iostream>
#include <iterator>
#include <utility>

#include "command.h"
#include "files.h"
#include "platform/config_report.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

leaf::result<std::string> ReadFileOrInput(const std::string& path) {
  if (path != "-") {
    return ReadFile(path);
  }
  return std::string(std::istreambuf_iterator<char>(std::cin), {});
}

template <class Value>
std::optional<Value> OptionalValue(const CommandArguments& arguments,
                                   const char* name) {
  return arguments.contains(name) ? std::optional(arguments[name].as<Value>())
                                  : std::nullopt;
}

// Exit codes: 2 if a node would refuse the config, 1 for warnings with
// --strict.
leaf::result<ExitCode> RunConfigCheck(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(path, RequiredOption(arguments, "file"));
  const auto format = arguments["format"].as<std::string>();
  if (format != "text" && format != "json") {
    return leaf::new_error(
        UsageError{"--format: \"" + format + "\" is neither text nor json"});
  }
  const auto against = OptionalValue<std::string>(arguments, "against");
  if (path == "-" && against == "-") {
    return leaf::new_error(
        UsageError{"only one of the configs can be standard input"});
  }
  platform::ConfigTexts texts;
  BOOST_LEAF_ASSIGN(texts.next, ReadFileOrInput(path));
  if (against) {
    BOOST_LEAF_AUTO(in_force, ReadFileOrInput(*against));
    texts.in_force = std::move(in_force);
  }
  const platform::ConfigReport report = platform::ReportConfig(
      std::move(texts),
      DeploymentFacts{
          .nodes = OptionalValue<uint32_t>(arguments, "nodes"),
          .node_mebibytes = OptionalValue<uint32_t>(arguments, "node-memory"),
          .worker_tokens_per_second =
              OptionalValue<double>(arguments, "worker-tokens")});
  std::cout << (format == "json" ? platform::FormatConfigReportAsJson(report)
                                 : platform::FormatConfigReport(
                                       report, isatty(STDOUT_FILENO) == 1));
  if (report.Count(FindingSeverity::kError) > 0) {
    return ExitCode::kUsage;
  }
  return arguments.contains("strict") &&
                 report.Count(FindingSeverity::kWarning) > 0
             ? ExitCode::kFailed
             : ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> ConfigCommands() {
  Command check{
      .name = "config check",
      .usage = "FILE [--against FILE] [--strict] [--format text|json]",
      .summary =
          "checks a gateways' config before it is sent; exit code 2 if "
          "nodes would refuse it",
      .run = RunConfigCheck};
  check.options.add_options()("file", options::value<std::string>(),
                              "the config, - for standard input")(
      "against", options::value<std::string>(),
      "the config in force, to show what differs")(
      "strict", "exit code 1 if there are warnings")(
      "format", options::value<std::string>()->default_value("text"),
      "text or json")("nodes", options::value<uint32_t>(),
                      "number of the deployment's nodes")(
      "node-memory", options::value<uint32_t>(),
      "memory of the smallest node in MiB")(
      "worker-tokens", options::value<double>(),
      "prompt tokens that a worker reads in a second");
  return {std::move(check)};
}

}  // namespace pistachiowalk
