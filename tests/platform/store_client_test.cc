#include "platform/store_client.h"

#include <optional>
#include <string>

#include "http1/narrow_link.h"
#include "platform/fake_store_service.h"
#include "store/store_history_tracker.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "op/config";
// The largest value that the store holds.
constexpr size_t kValueBytes = 1024 * 1024;
constexpr size_t kLinkBytesPerSecond = 10 * 1000 * 1000 / 8;

// A client of a store behind this node's narrow link.
struct NarrowStore {
  explicit NarrowStore(uint16_t port)
      : service(loop, Address(port)),
        link(loop, Address(port + 1), Address(port), kLinkBytesPerSecond),
        client(loop, Address(port + 1), history) {}

  static SocketAddress Address(int port) {
    return SocketAddress{.ip = "127.0.0.1",
                         .port = static_cast<uint16_t>(port)};
  }
  // Runs the loop until Stop() or for 8 s.
  void Run() {
    const TimerId limit = loop.Schedule(seconds(8), [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(limit);
  }

  EventLoop loop;
  StoreHistoryTracker history;
  FakeStoreService service;
  NarrowLink link;
  platform::StoreClient client;
};

}  // namespace

Test(store_client, a_list_of_large_values_never_ends_on_a_narrow_link) {
  NarrowStore store(18640);
  store.service.Put(kKey, std::string(kValueBytes, 'x'));
  std::optional<StorePage> page;
  store.client.List("op/", "", [&](const StorePage& response) {
    page = response;
    store.loop.Stop();
  });
  store.Run();
  cr_assert(page && page->status == StoreStatus::kOk);
  cr_assert_eq(page->items.size(), 1);
  cr_assert_eq(page->items.front().value.size(), kValueBytes);
}

Test(store_client, a_large_change_late_in_a_watch_never_ends_on_a_narrow_link) {
  NarrowStore store(18650);
  std::optional<StoreChanges> changes;
  store.client.WatchPrefix("op/", 1, milliseconds(1000),
                           [&](const StoreChanges& response) {
                             changes = response;
                             store.loop.Stop();
                           });
  store.loop.Schedule(milliseconds(900), [&] {
    store.service.Put(kKey, std::string(kValueBytes, 'x'));
  });
  store.Run();
  cr_assert(changes && changes->status == WatchStatus::kOk);
  cr_assert_eq(changes->changes.size(), 1);
}

Test(store_client, a_store_that_does_not_answer_is_awaited_longer) {
  NarrowStore store(18660);
  store.service.SetMode(FakeStoreMode::kUnresponsive);
  const TimePoint begin = std::chrono::steady_clock::now();
  std::optional<StorePage> page;
  store.client.List("op/", "", [&](const StorePage& response) {
    page = response;
    store.loop.Stop();
  });
  store.Run();
  cr_assert(page && page->status == StoreStatus::kUnavailable);
  cr_assert(std::chrono::steady_clock::now() - begin < milliseconds(1200));
}
