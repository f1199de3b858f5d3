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
  cr_assert(entry->version == SoftwareVersion("v1"));
}

Test(endpoint_entry_codec, an_entry_without_a_version_names_no_endpoint) {
  const auto entry = [](const std::string& version) {
    return R"({"service":"s","address":"10.1.2.3:80","zone":"z",)" + version +
           R"("slots":64,"state":"ready","seq":4})";
  };
  cr_assert(Read(entry(R"("version":"v1",)")).has_value());
  for (const char* version :
       {"", R"("version":7,)", R"("version":null,)", R"("version":["v1"],)",
        R"("version":{"v1":1},)"}) {
    cr_assert(!Read(entry(version)).has_value(), "%s", version);
  }
}

Test(endpoint_entry_codec, rejects_malformed_entries) {
  const std::vector<std::string> values = {
      "",
      "\xff\xfe",
      "[]",
      R"({"service":"s"})",
      R"({"service":"s","address":"10.1.2.3","zone":"z","version":"v1","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:99999","zone":"z","version":"v1","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":"1","state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":0,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":1,"state":"asleep","seq":1})",
      R"({"service":7,"address":"10.1.2.3:80","zone":"z","version":"v1","slots":1,"state":"ready","seq":1})",
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":1,"state":"ready"})"};
  for (const std::string& value : values) {
    cr_assert(!Read(value).has_value(), "%s", value.c_str());
  }
}

// An entry of another writer must neither end the process nor name a worker.
Test(endpoint_entry_codec, odd_entries_name_no_endpoint) {
  const auto entry = [](const std::string& address, const std::string& slots,
                        const std::string& rest) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","version":"v1","state":"ready","seq":1,"slots":)" +
           slots + rest + "}";
  };
  cr_assert(Read(entry("10.1.2.3:80", "1", "")).has_value());
  std::vector<std::string> values = {
      entry("10.1.2.3:65536", "1", ""),
      entry("10.1.2.3:-1", "1", ""),
      entry("10.1.2.3:0", "1", ""),
      entry("10.1.2.3:99999999999999999999", "1", ""),
      entry("10.1.2.3:80", "4294967296", ""),
      entry("10.1.2.3:80", "18446744073709551615", ""),
      entry("10.1.2.3:80", "18446744073709551616", ""),
      entry("10.1.2.3:80", "1e308", ""),
      entry("10.1.2.3:80", "1e999999", ""),
      entry("10.1.2.3:80", "-1", ""),
      entry("10.1.2.3:80", "1.5", "")};
  for (const size_t depth : {33, 1000, 200000}) {
    values.push_back(
        entry("10.1.2.3:80", "1",
              R"(,"x":)" + std::string(depth, '[') + std::string(depth, ']')));
    values.emplace_back(depth, '[');
    std::string objects;
    for (size_t level = 0; level < depth; ++level) {
      objects += R"({"a":)";
    }
    values.push_back(objects);
  }
  for (const std::string& value : values) {
    cr_assert(!Read(value).has_value(), "%s", value.substr(0, 200).c_str());
  }
}

Test(endpoint_entry_codec, an_id_that_would_break_a_header_names_no_endpoint) {
  const std::string value =
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":1,
          "state":"ready","seq":1})";
  for (const std::string& id :
       {std::string("i\r\nX-Other: 1"), std::string("i\n"), std::string("i j"),
        std::string("i\0", 2), std::string("\xff")}) {
    std::string reason;
    cr_assert(!platform::ReadEndpointEntry(
        StoreItem{.key = "servers/" + id, .value = value, .revision = 3},
        reason));
    cr_assert(!reason.empty());
  }
}
