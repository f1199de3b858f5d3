#include "following/prefix_follower.h"

#include <deque>
#include <optional>
#include <random>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

// An in-memory store that can fail the next calls and discard its change
// history.
class MemoryStore final : public PrefixStore {
 public:
  explicit MemoryStore(EventLoop& loop) : m_loop(loop) {}

  void Put(const std::string& key, const std::string& value) {
    m_items[key] = StoreItem{key, value, ++m_revision};
    m_history.push_back(StoreChange{.item = m_items[key]});
  }
  void Remove(const std::string& key) {
    m_items.erase(key);
    m_history.push_back(StoreChange{
        .item = {.key = key, .revision = ++m_revision}, .is_removed = true});
  }
  void ForgetHistory() {
    m_history.clear();
    m_forgotten = m_revision;
  }
  void FailNext(int calls) { m_failures = calls; }
  StoreRevision revision() const { return m_revision; }
  const std::map<std::string, StoreItem>& items() const { return m_items; }

  void List(const std::string&,
            const std::string& after_key,
            PageCallback callback) override {
    m_loop.Post([this, after_key, callback] {
      if (TakeFailure()) {
        callback(StorePage{});
        return;
      }
      StorePage page{.status = StoreStatus::kOk, .as_of = m_revision};
      constexpr size_t kPageItems = 2;
      for (auto it = m_items.upper_bound(after_key); it != m_items.end();
           ++it) {
        if (page.items.size() == kPageItems) {
          page.has_more = true;
          break;
        }
        page.items.push_back(it->second);
      }
      callback(page);
    });
  }

  void WatchPrefix(const std::string&,
                   StoreRevision after,
                   std::chrono::milliseconds,
                   ChangesCallback callback) override {
    m_loop.Schedule(milliseconds(1), [this, after, callback] {
      if (TakeFailure()) {
        callback(StoreChanges{});
        return;
      }
      if (after < m_forgotten) {
        callback(StoreChanges{.status = WatchStatus::kHistoryLost});
        return;
      }
      StoreChanges changes{.status = WatchStatus::kOk, .as_of = m_revision};
      for (const StoreChange& change : m_history) {
        if (change.item.revision > after) {
          changes.changes.push_back(change);
        }
      }
      callback(changes);
    });
  }

 private:
  bool TakeFailure() {
    if (m_failures == 0) {
      return false;
    }
    --m_failures;
    return true;
  }

  EventLoop& m_loop;
  std::map<std::string, StoreItem> m_items;
  std::vector<StoreChange> m_history;
  StoreRevision m_revision = 0;
  StoreRevision m_forgotten = 0;
  int m_failures = 0;
};

constexpr FollowerTimings kFastTimings{.watch_timeout = milliseconds(1),
                                       .batch_delay = milliseconds(1),
                                       .initial_backoff = milliseconds(1),
                                       .maximum_backoff = milliseconds(2)};

// Follows a MemoryStore and records the calls of the handlers.
struct Follower {
  explicit Follower(uint64_t seed)
      : store(loop),
        follower(
            loop,
            store,
            "x/",
            kFastTimings,
            seed,
            PrefixFollower::Handlers{
                .replaced =
                    [this](const std::vector<StoreItem>& items, ItemSource) {
                      known.clear();
                      for (const StoreItem& item : items) {
                        known[item.key] = item;
                      }
                    },
                .changed =
                    [this](const StoreChange& change) {
                      if (change.is_removed) {
                        known.erase(change.item.key);
                      } else {
                        known[change.item.key] = change.item;
                      }
                    },
                .store_lost = [this] { ++losses; },
                .store_recovered = [this] { ++returns; }}) {}

  // Runs the loop until the follower's items equal the store's, for 5 s at
  // most.
  bool RunUntilEqual() {
    bool is_equal = false;
    const TimerId limit =
        loop.Schedule(std::chrono::seconds(5), [this] { loop.Stop(); });
    CheckLater(is_equal);
    loop.Run();
    loop.Cancel(limit);
    return is_equal;
  }

  EventLoop loop;
  MemoryStore store;
  std::map<std::string, StoreItem> known;
  int losses = 0;
  int returns = 0;
  PrefixFollower follower;

 private:
  void CheckLater(bool& is_equal) {
    loop.Schedule(milliseconds(1), [this, &is_equal] {
      if (known == store.items() && !follower.is_store_lost()) {
        is_equal = true;
        loop.Stop();
        return;
      }
      CheckLater(is_equal);
    });
  }
};

}  // namespace

Test(prefix_follower, lists_several_pages_and_follows_changes) {
  Follower follower(1);
  for (const char* key : {"x/a", "x/b", "x/c", "x/d", "x/e"}) {
    follower.store.Put(key, "1");
  }
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.store.Put("x/c", "2");
  follower.store.Remove("x/a");
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.known.at("x/c").value == "2");
}

Test(prefix_follower, reports_a_loss_once_and_recovers) {
  Follower follower(2);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.store.FailNext(5);
  follower.store.Put("x/b", "1");
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.losses == 1);
  cr_assert(follower.returns == 1);
}

Test(prefix_follower, lists_again_after_a_lost_history) {
  Follower follower(3);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.store.Put("x/b", "1");
  follower.store.Remove("x/a");
  follower.store.ForgetHistory();
  cr_assert(follower.RunUntilEqual());
}

Test(prefix_follower, applies_a_peers_snapshot_only_if_it_is_newer) {
  Follower follower(4);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.follower.ApplyPeerSnapshot(
      PrefixSnapshot{.as_of = 0, .items = {{"x/z", "old", 0}}});
  cr_assert(!follower.known.contains("x/z"));
  follower.follower.ApplyPeerSnapshot(PrefixSnapshot{
      .as_of = follower.store.revision() + 10, .items = {{"x/z", "new", 9}}});
  cr_assert(follower.known.contains("x/z"));
  cr_assert(follower.follower.as_of() == follower.store.revision() + 10);
}

Test(prefix_follower, a_passive_follower_sends_no_watches) {
  Follower follower(5);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.follower.SetPassive(true);
  // The pending watch completes; no further one is sent.
  follower.loop.Schedule(milliseconds(50), [&] { follower.loop.Stop(); });
  follower.loop.Run();
  follower.store.Put("x/b", "1");
  follower.loop.Schedule(milliseconds(50), [&] { follower.loop.Stop(); });
  follower.loop.Run();
  cr_assert(!follower.known.contains("x/b"));
  follower.follower.SetPassive(false);
  cr_assert(follower.RunUntilEqual());
}

// Random changes, failures and lost histories: the follower always converges to
// the store's items.
Test(prefix_follower, converges_to_the_store_after_random_faults) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    Follower follower(seed);
    follower.follower.Start();
    for (int round = 0; round < 8; ++round) {
      for (int change = 0; change < 4; ++change) {
        const std::string key = "x/" + std::to_string(random() % 7);
        if (random() % 3 == 0) {
          follower.store.Remove(key);
        } else {
          follower.store.Put(key, std::to_string(random()));
        }
      }
      if (random() % 4 == 0) {
        follower.store.ForgetHistory();
      }
      follower.store.FailNext(static_cast<int>(random() % 4));
      cr_assert(follower.RunUntilEqual(), "seed %lu", seed);
    }
  }
}

// A peer's newer snapshot arrives while a watch is pending. The watch then
// returns changes older than the snapshot, which must not restore removed
// items.
Test(prefix_follower, an_old_watch_does_not_undo_what_a_peer_told) {
  Follower test(1);
  test.store.Put("x/a", "1");
  test.follower.Start();
  cr_assert(test.RunUntilEqual());
  // The next watch returns this change, which the snapshot below supersedes.
  test.store.Put("x/b", "2");
  const StoreRevision written = test.store.revision();
  test.follower.ApplyPeerSnapshot(
      PrefixSnapshot{.as_of = written + 1,
                     .newest_change = written + 1,
                     .items = {StoreItem{"x/a", "1", 1}}});
  cr_assert(test.follower.newest_change() == written + 1);
  const TimerId limit =
      test.loop.Schedule(milliseconds(50), [&] { test.loop.Stop(); });
  test.loop.Run();
  test.loop.Cancel(limit);
  cr_assert(!test.known.contains("x/b"));
}
