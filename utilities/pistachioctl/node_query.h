#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "command.h"

namespace pistachiowalk {

// The answer of one node to a GET.
struct NodeResponse {
  std::string url;
  bool is_success = false;
  std::string body;
  // Why there is no answer.
  std::string detail;
};

// Asks all nodes of --nodes for `path` at once; the answers come in the order
// of the option. Errors: UsageError.
boost::leaf::result<std::vector<NodeResponse>> QueryNodes(
    const CommandArguments& arguments,
    const std::string& path);

// The options of a command that asks nodes.
boost::program_options::options_description NodeQueryOptions();

}  // namespace pistachiowalk
