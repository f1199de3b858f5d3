#pragma once

#include <boost/leaf.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

#include "exit_code.h"

namespace pistachiowalk {

// Invalid command line arguments.
struct UsageError {
  std::string detail;
};

using CommandArguments = boost::program_options::variables_map;

// One command of pistachioctl.
struct Command {
  // For example "bundle sign".
  std::string name;
  std::string usage;
  std::string summary;
  boost::program_options::options_description options;
  std::function<boost::leaf::result<ExitCode>(const CommandArguments&)> run;
};

// The value of a required option. Errors: UsageError.
inline boost::leaf::result<std::string> RequiredOption(
    const CommandArguments& arguments,
    const std::string& name) {
  if (!arguments.contains(name)) {
    return boost::leaf::new_error(UsageError{"--" + name + " is missing"});
  }
  return arguments[name].as<std::string>();
}

// Commands on bundles and customers' keys.
std::vector<Command> BundleCommands();
// Commands that query running nodes.
std::vector<Command> StatusCommands();
// The command that checks gateways' configs.
std::vector<Command> ConfigCommands();
// The command that shows audit trails.
std::vector<Command> AuditCommands();

}  // namespace pistachiowalk
