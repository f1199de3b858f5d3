#include <fmt/format.h>

#include <csignal>
#include <iostream>

#include "base/ini_reader.h"
#include "load_command.h"
#include "report.h"

// Load generator and measurement reports of pistachiowalk.
namespace pistachiowalk {

namespace options = boost::program_options;

std::vector<std::string> TargetUrls(const LoadArguments& arguments) {
  return SplitList(arguments["url"].as<std::string>());
}

void PrintQuantiles(const std::string& name, const LatencySamples& samples) {
  struct NamedQuantile {
    const char* name;
    double share;
  };
  for (const NamedQuantile& quantile :
       {NamedQuantile{"p50", 0.5}, NamedQuantile{"p95", 0.95},
        NamedQuantile{"p99", 0.99}}) {
    const auto value = std::chrono::duration_cast<std::chrono::microseconds>(
        samples.Quantile(quantile.share));
    std::cout << fmt::format("{}.{}: {} us\n", name, quantile.name,
                             value.count());
  }
}

namespace {

options::options_description MakeOptions() {
  options::options_description description(
      "pistachioload: load and measurements of pistachiowalk\n\n"
      "  pistachioload stream  streams of a model service, every token "
      "checked against the stand-in engine\n"
      "  pistachioload plain   calls of a plain service\n"
      "  pistachioload report --out FOLDER FILE...  a page and a plot script "
      "from measurements' outputs (meta/report.sh draws the plots)\n\n"
      "Options");
  description.add_options()("help,h", "show this help")(
      "command", options::value<std::string>(), "stream, plain or report")(
      "file", options::value<std::vector<std::string>>()->composing(),
      "report: outputs of measurements")(
      "out", options::value<std::string>()->default_value("."),
      "report: folder to write to")(
      "url", options::value<std::string>()->default_value(""),
      "base URLs, separated by commas, used in turn")(
      "key", options::value<std::string>()->default_value(""),
      "the customer's bearer key")(
      "service", options::value<std::string>()->default_value("chat"),
      "name of the service")("count",
                             options::value<uint64_t>()->default_value(100),
                             "number of streams or calls")(
      "rate", options::value<double>()->default_value(0),
      "streams started a second; 0 starts all at once")(
      "tokens", options::value<uint64_t>()->default_value(32),
      "tokens of a stream")("loops",
                            options::value<uint64_t>()->default_value(16),
                            "plain: calls open at a time")(
      "method", options::value<std::string>()->default_value("GET"),
      "plain: method; others than GET get an Idempotency-Key")(
      "path", options::value<std::string>()->default_value("items"),
      "plain: path behind the service's name")(
      "seed", options::value<uint64_t>()->default_value(1),
      "seed of arrivals, prompts and keys");
  return description;
}

int Main(int argc, char** argv) {
  const options::options_description description = MakeOptions();
  options::positional_options_description positional;
  positional.add("command", 1);
  positional.add("file", -1);
  LoadArguments arguments;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positional)
                       .run(),
                   arguments);
    if (arguments.contains("help")) {
      std::cout << description;
      return 0;
    }
    options::notify(arguments);
  } catch (const options::error& error) {
    std::cerr << "pistachioload: " << error.what()
              << "; see pistachioload --help\n";
    return 2;
  }
  const std::string command = arguments.contains("command")
                                  ? arguments["command"].as<std::string>()
                                  : "";
  if (command == "report") {
    const auto files = arguments.contains("file")
                           ? arguments["file"].as<std::vector<std::string>>()
                           : std::vector<std::string>();
    return RunReport(files, arguments["out"].as<std::string>());
  }
  if (TargetUrls(arguments).empty()) {
    std::cerr << "pistachioload: --url is empty\n";
    return 2;
  }
  if (command == "stream") {
    return RunStreamLoad(arguments);
  }
  if (command == "plain") {
    return RunPlainLoad(arguments);
  }
  std::cerr << "pistachioload: the command is stream, plain or report\n";
  return 2;
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return pistachiowalk::Main(argc, argv);
}
