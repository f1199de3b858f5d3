#include "fleet/lease_record.h"

#include <boost/json.hpp>

namespace pistachiowalk {

namespace json = boost::json;

std::string FormatLeaseRecord(const LeaseRecord& record) {
  json::object object{{"holder", record.holder},
                      {"fence", record.fence},
                      {"beat", record.beat}};
  if (record.history_since != 0) {
    object["history_since"] = record.history_since;
  }
  return json::serialize(object);
}

std::optional<LeaseRecord> ParseLeaseRecord(std::string_view text) {
  json::error_code error;
  const json::value document = json::parse(text, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  const json::object& object = document.get_object();
  const json::value* holder = object.if_contains("holder");
  const json::value* fence = object.if_contains("fence");
  const json::value* beat = object.if_contains("beat");
  if (holder == nullptr || !holder->is_string() || fence == nullptr ||
      beat == nullptr) {
    return std::nullopt;
  }
  LeaseRecord record;
  record.holder = std::string(holder->get_string());
  record.fence = fence->to_number<uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  record.beat = beat->to_number<uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  if (const json::value* since = object.if_contains("history_since")) {
    record.history_since = since->to_number<int64_t>(error);
    if (error) {
      return std::nullopt;
    }
  }
  return record;
}

}  // namespace pistachiowalk
