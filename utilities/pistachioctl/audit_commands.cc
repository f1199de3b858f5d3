#include <fmt/format.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <deque>
#include <iostream>

#include "command.h"
#include "daemon/audit_trail.h"
#include "node_query.h"

namespace pistachiowalk {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

std::string StringField(const json::object& object, const char* name) {
  return std::string(object.at(name).as_string());
}

// Throws if the document is not an audit trail.
std::deque<AuditEntry> ParseAuditTrail(const std::string& body) {
  std::deque<AuditEntry> entries;
  const json::value document = json::parse(body);
  for (const json::value& value : document.at("entries").as_array()) {
    const json::object& item = value.as_object();
    entries.push_back(
        AuditEntry{.number = item.at("number").to_number<uint64_t>(),
                   .unix_milliseconds = item.at("time_ms").to_number<int64_t>(),
                   .record = {.actor = StringField(item, "actor"),
                              .subject = StringField(item, "subject"),
                              .action = StringField(item, "action"),
                              .reason = StringField(item, "reason"),
                              .before = StringField(item, "before"),
                              .after = StringField(item, "after")},
                   .previous_hash = StringField(item, "previous_hash"),
                   .hash = StringField(item, "hash")});
  }
  return entries;
}

ExitCode PrintAuditTrail(const std::string& url, const std::string& body) {
  try {
    const std::deque<AuditEntry> entries = ParseAuditTrail(body);
    for (const AuditEntry& entry : entries) {
      std::cout << fmt::format(
          "{} {} {} {} {} {} reason=\"{}\" before=\"{}\" after=\"{}\"\n", url,
          entry.number, entry.unix_milliseconds, entry.record.actor,
          entry.record.subject, entry.record.action, entry.record.reason,
          entry.record.before, entry.record.after);
    }
    if (const uint64_t broken = FindBrokenEntry(entries); broken != 0) {
      std::cerr << fmt::format("{}: the chain is broken at entry {}\n", url,
                               broken);
      return ExitCode::kFailed;
    }
    return ExitCode::kSuccess;
  } catch (const std::exception&) {
    std::cerr << fmt::format("{}: the answer is not an audit trail\n", url);
    return ExitCode::kFailed;
  }
}

leaf::result<ExitCode> RunAudit(const CommandArguments& arguments) {
  BOOST_LEAF_AUTO(answers, QueryNodes(arguments, "/v1/audit"));
  ExitCode exit_code = ExitCode::kSuccess;
  for (const NodeResponse& answer : answers) {
    if (!answer.is_success) {
      std::cerr << fmt::format("{}: no answer ({})\n", answer.url,
                               answer.detail);
      exit_code = ExitCode::kFailed;
    } else if (arguments.contains("json")) {
      std::cout << answer.body << '\n';
    } else if (PrintAuditTrail(answer.url, answer.body) != ExitCode::kSuccess) {
      exit_code = ExitCode::kFailed;
    }
  }
  return exit_code;
}

}  // namespace

std::vector<Command> AuditCommands() {
  return {{"audit", "--nodes URL[,URL...]",
           "shows nodes' audit trails and checks their chains",
           NodeQueryOptions(), RunAudit}};
}

}  // namespace pistachiowalk
