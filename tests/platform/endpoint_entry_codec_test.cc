#include "platform/endpoint_entry_codec.h"

#include <string>
#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

std::optional<EndpointEntry> Read(const std::string& value) {
  std::string reason;
  return platform::ReadEndpointEntry(
      StoreItem{.key = "servers/i-1", .value = value, .revision = 3}, reason);
}

}  // namespace

Test(endpoint_entry_codec, reads_an_entry) {
  const auto entry = Read(
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1",
          "slots":64,"state":"draining","cold-remaining-ms":0,"seq":4,
          "spot":true,"born":1700000000000})");
  cr_assert(entry.has_value());
  cr_assert(entry->id == EndpointId("i-1"));
  cr_assert(entry->address == (SocketAddress{.ip = "10.1.2.3", .port = 80}));
  cr_assert(entry->state == EndpointState::kLeaving);
  cr_assert(entry->is_reclaimable);
  cr_assert(entry->incarnation == 1700000000000ULL);
  cr_assert(entry->sequence == 4);
}

Test(endpoint_entry_codec, rejects_malformed_entries) {
  const std::vector<std::string> values = {
      "",
      "\xff\xfe",
      "[]",
      R"({"service":"s"})",
      R"({"service":"s","address":"10.1.2.3","zone":"z","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:99999","zone":"z","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":"1","state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":0,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":1,"state":"asleep","seq":1})",
      R"({"service":7,"address":"10.1.2.3:80","zone":"z","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":1,"state":"ready"})"};
  for (const std::string& value : values) {
    cr_assert(!Read(value).has_value(), "%s", value.c_str());
  }
}
