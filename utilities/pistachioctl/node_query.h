#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "command.h"

namespace pistachiowalk {

// The response of one node to a GET request.
struct NodeResponse {
  std::string url;
  bool is_success = false;
  std::string body;
  // Why the request failed.
  std::string detail;
};

// Requests `path` from all nodes of --nodes concurrently; the responses are in
// the order of the option. Errors: UsageError.
boost::leaf::result<std::vector<NodeResponse>> QueryNodes(
    const CommandArguments& arguments,
    const std::string& path);

// The options of a command that queries nodes.
boost::program_options::options_description NodeQueryOptions();

}  // namespace pistachiowalk
