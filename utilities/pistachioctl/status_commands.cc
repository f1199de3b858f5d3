#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <map>

#include "command.h"
#include "node_query.h"

namespace pistachiowalk {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Bundle versions in force on the nodes of a data centre.
struct DataCenterVersions {
  uint64_t lowest = UINT64_MAX;
  uint64_t highest = 0;
  size_t nodes = 0;
};
using VersionsByDataCenter = std::map<std::string, DataCenterVersions>;

std::string FieldText(const json::object& object, const char* name) {
  const json::value& value = object.at(name);
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

// Throws if the document is not a status.
void PrintNode(const std::string& url, const json::object& status) {
  std::cout << fmt::format(
      "{} {} data_center={} bundle={} open_requests={} members={}\n", url,
      FieldText(status, "node"), FieldText(status, "data_center"),
      FieldText(status, "bundle_version"), FieldText(status, "open_requests"),
      status.at("members").as_array().size());
  const json::object& lease = status.at("lease").as_object();
  std::cout << fmt::format("  lease={} state={} holder={} stopped={}\n",
                           FieldText(lease, "key"), FieldText(lease, "state"),
                           FieldText(lease, "holder"),
                           FieldText(lease, "stopped"));
  for (const json::value& value : status.at("endpoints").as_array()) {
    const json::object& endpoint = value.as_object();
    std::cout << fmt::format(
        "  {} service={} place={} state={} in_flight={}\n",
        FieldText(endpoint, "id"), FieldText(endpoint, "service"),
        FieldText(endpoint, "place"), FieldText(endpoint, "state"),
        FieldText(endpoint, "in_flight"));
  }
}

void AddVersion(const json::object& status, VersionsByDataCenter& versions) {
  DataCenterVersions& item = versions[FieldText(status, "data_center")];
  const auto version = status.at("bundle_version").to_number<uint64_t>();
  item.lowest = std::min(item.lowest, version);
  item.highest = std::max(item.highest, version);
  ++item.nodes;
}

void PrintVersions(const VersionsByDataCenter& versions) {
  for (const auto& [data_center, item] : versions) {
    std::cout << fmt::format(
        "data centre {}: {} nodes answered, bundle version {}{}\n", data_center,
        item.nodes, item.lowest,
        item.lowest == item.highest ? "" : fmt::format(" to {}", item.highest));
  }
}

// Prints one response; false if it is not a status.
bool PrintStatus(const NodeResponse& answer, VersionsByDataCenter& versions) {
  try {
    const json::value document = json::parse(answer.body);
    PrintNode(answer.url, document.as_object());
    AddVersion(document.as_object(), versions);
    return true;
  } catch (const std::exception&) {
    std::cerr << fmt::format("{}: the answer is not a status\n", answer.url);
    return false;
  }
}

leaf::result<ExitCode> RunStatus(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(answers, QueryNodes(arguments, "/v1/status"));
  ExitCode exit_code = ExitCode::kSuccess;
  VersionsByDataCenter versions;
  std::string documents;
  for (const NodeResponse& answer : answers) {
    if (!answer.is_success) {
      std::cerr << fmt::format("{}: no answer ({})\n", answer.url,
                               answer.detail);
      exit_code = ExitCode::kFailed;
    } else if (arguments.contains("json")) {
      documents += (documents.empty() ? "" : ",") + answer.body;
    } else if (!PrintStatus(answer, versions)) {
      exit_code = ExitCode::kFailed;
    }
  }
  if (arguments.contains("json")) {
    std::cout << '[' << documents << "]\n";
  } else {
    PrintVersions(versions);
  }
  return exit_code;
}

}  // namespace

std::vector<Command> StatusCommands() {
  return {{"status", "--nodes URL[,URL...]",
           "shows the bundle in force, members, lease, open requests and "
           "endpoints",
           NodeQueryOptions(), RunStatus}};
}

}  // namespace pistachiowalk
