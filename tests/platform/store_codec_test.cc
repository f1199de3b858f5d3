#include "platform/store_codec.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::platform;

Test(store_codec, base64_round_trips) {
  for (const std::string& value :
       {std::string(), std::string("a"), std::string("\0\xff\n", 3),
        std::string(1000, 'x')}) {
    cr_assert(DecodeBase64(EncodeBase64(value)) == value);
  }
  cr_assert(EncodeBase64("node-1") == "bm9kZS0x");
  cr_assert(!DecodeBase64("bm9kZS0x!"));
}

Test(store_codec, reads_a_page_and_skips_malformed_items) {
  const StorePage page = ReadPage(
      R"({"items":[{"key":"a","value":"bm9kZS0x","rev":4,"created":2,"lease":0},
          {"key":"b"},7],"has-more":true,"as-of":9})");
  cr_assert(page.status == StoreStatus::kOk && page.has_more);
  cr_assert(page.as_of == 9 && page.items.size() == 1);
  cr_assert(page.items[0] == (StoreItem{"a", "node-1", 4}));
  cr_assert(ReadPage("{}").status == StoreStatus::kUnavailable);
  cr_assert(ReadPage("garbage").status == StoreStatus::kUnavailable);
}

Test(store_codec, reads_changes_and_removals) {
  const StoreChanges changes = ReadChanges(
      R"({"events":[{"key":"a","value":"","rev":5,"created":5,"lease":0},
          {"key":"b","rev":6,"deleted":true}],"as-of":6})");
  cr_assert(changes.status == WatchStatus::kOk && changes.as_of == 6);
  cr_assert(changes.changes.size() == 2);
  cr_assert(!changes.changes[0].is_removed);
  cr_assert(changes.changes[1].is_removed &&
            changes.changes[1].item.key == "b");
  cr_assert(ReadChanges("[]").status == WatchStatus::kUnavailable);
}

Test(store_codec, writes_the_expected_revision_and_the_value) {
  const std::string body = WriteCompareAndSwap("k", 7, "node-1");
  cr_assert(body.find(R"("rev":7)") != std::string::npos);
  cr_assert(body.find(R"("bm9kZS0x")") != std::string::npos);
  cr_assert(PercentEncode("a b/c?") == "a%20b/c%3F");
}

Test(store_codec, an_unreadable_item_hides_no_other) {
  const StorePage page = ReadPage(
      R"({"items":[{"key":"a","value":"bm9kZS0x","rev":4},
          {"key":"b","value":"*","rev":5},{"key":"c","rev":6},
          {"key":"d","value":"*"}],"has-more":true,"as-of":9})");
  cr_assert(page.items.size() == 3);
  cr_assert(page.items[1] == (StoreItem{"b", "", 5}));
  cr_assert(page.last_key == "d");
  const StoreChanges changes =
      ReadChanges(R"({"events":[{"key":"a","value":7,"rev":5}],"as-of":6})");
  cr_assert(changes.changes.size() == 1);
  cr_assert(changes.changes[0].item == (StoreItem{"a", "", 5}));
  cr_assert(ReadPage("{\"items\":[{\"key\":\"\xff\",\"value\":\"\",\"rev\":1}],"
                     "\"as-of\":9}")
                .items.size() == 1);
}
