#include <boost/leaf.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "bundle/bundle_error.h"
#include "command.h"
#include "files.h"

// The operators' command line tool of pistachiowalk.
namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

std::vector<Command> AllCommands() {
  std::vector<Command> commands = BundleCommands();
  for (Command& command : StatusCommands()) {
    commands.push_back(std::move(command));
  }
  for (Command& command : ConfigCommands()) {
    commands.push_back(std::move(command));
  }
  for (Command& command : AuditCommands()) {
    commands.push_back(std::move(command));
  }
  return commands;
}

void PrintHelp(const std::vector<Command>& commands) {
  std::cout << "pistachioctl: operators' tool of pistachiowalk\n\nCommands:\n";
  for (const Command& command : commands) {
    std::cout << "  pistachioctl " << command.name << ' ' << command.usage
              << "\n      " << command.summary << '\n';
  }
  std::cout << "\nEach command knows --help and, where it prints data, --json."
               "\nExit codes: 0 done; 1 failed, nothing changed; 2 wrong call; "
               "3 another operator won; 4 may have taken effect.\n";
}

// The command that `words` start with; removes the command's words from them.
const Command* FindCommand(const std::vector<Command>& commands,
                           std::vector<std::string>& words) {
  for (const Command& command : commands) {
    std::string joined;
    for (size_t count = 0; count < words.size() && count < 2; ++count) {
      joined += (count > 0 ? " " : "") + words[count];
      if (joined == command.name) {
        words.erase(words.begin(),
                    words.begin() + static_cast<ptrdiff_t>(count) + 1);
        return &command;
      }
    }
  }
  return nullptr;
}

// Name of the option that a positional argument sets.
const char* PositionalName(const Command& command) {
  return command.name == "customer hash-key" ? "key" : "file";
}

leaf::result<ExitCode> RunCommand(const Command& command,
                                  const std::vector<std::string>& words) {
  options::options_description description;
  description.add(command.options);
  description.add_options()("help,h", "show this help");
  options::positional_options_description positional;
  positional.add(PositionalName(command), 1);
  CommandArguments arguments;
  try {
    options::store(options::command_line_parser(words)
                       .options(description)
                       .positional(positional)
                       .run(),
                   arguments);
  } catch (const options::error& error) {
    return leaf::new_error(UsageError{error.what()});
  }
  if (arguments.contains("help")) {
    std::cout << "pistachioctl " << command.name << ' ' << command.usage
              << "\n  " << command.summary << '\n'
              << description;
    return ExitCode::kSuccess;
  }
  return command.run(arguments);
}

ExitCode Main(std::vector<std::string> words) {
  const std::vector<Command> commands = AllCommands();
  if (words.empty() || words.front() == "--help" || words.front() == "-h") {
    PrintHelp(commands);
    return words.empty() ? ExitCode::kUsage : ExitCode::kSuccess;
  }
  const Command* command = FindCommand(commands, words);
  if (command == nullptr) {
    std::cerr << "pistachioctl: no such command; see pistachioctl --help\n";
    return ExitCode::kUsage;
  }
  const auto report_error = [command](const std::string& detail,
                                      ExitCode code) {
    std::cerr << "pistachioctl " << command->name << ": " << detail << '\n';
    return code;
  };
  return leaf::try_handle_all(
      [&] { return RunCommand(*command, words); },
      [&](const UsageError& error) {
        return report_error(error.detail, ExitCode::kUsage);
      },
      [&](const FileError& error) {
        return report_error(error.path + ": " + error.detail,
                            ExitCode::kFailed);
      },
      [&](const BundleError& error) {
        return report_error(error.detail, ExitCode::kFailed);
      },
      [&] { return report_error("failed", ExitCode::kFailed); });
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(
      pistachiowalk::Main(std::vector<std::string>(argv + 1, argv + argc)));
}
