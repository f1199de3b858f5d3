#include "following/prefix_follower.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>

#include "following/snapshot_peer.h"

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
  // The state that RestoreCopy() returns to.
  void KeepCopy() { m_copy = Copy{m_items, m_revision}; }
  // Loses all changes since KeepCopy() and begins a new history.
  void RestoreCopy() {
    m_items = m_copy.items;
    m_revision = m_copy.revision;
    m_history.clear();
    m_forgotten = m_revision;
    ++m_number;
  }
  // Names `history` in responses from now on, whatever the store's is.
  void NameHistory(StoreHistory history) { m_number = history; }
  // Called with each response, before it is passed on.
  void OnResponse(std::function<void(StoreHistory)> observer) {
    m_observer = std::move(observer);
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
      StorePage page{
          .status = StoreStatus::kOk, .as_of = m_revision, .history = m_number};
      constexpr size_t kPageItems = 2;
      for (auto it = m_items.upper_bound(after_key); it != m_items.end();
           ++it) {
        if (page.items.size() == kPageItems) {
          page.has_more = true;
          break;
        }
        page.items.push_back(it->second);
        page.last_key = it->first;
      }
      m_observer(m_number);
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
      m_observer(m_number);
      if (after < m_forgotten || after > m_revision) {
        callback(StoreChanges{.status = WatchStatus::kHistoryLost,
                              .history = m_number});
        return;
      }
      StoreChanges changes{
          .status = WatchStatus::kOk, .as_of = m_revision, .history = m_number};
      for (const StoreChange& change : m_history) {
        if (change.item.revision > after) {
          changes.changes.push_back(change);
        }
      }
      callback(changes);
    });
  }

 private:
  struct Copy {
    std::map<std::string, StoreItem> items;
    StoreRevision revision = 0;
  };

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
  StoreHistory m_number = 1;
  Copy m_copy;
  std::function<void(StoreHistory)> m_observer = [](StoreHistory) {};
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
                .confirmed = [this] { ++confirmed; },
                .ask_failed = [this] { ++failed_asks; },
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

  void RunFor(milliseconds time) {
    loop.Schedule(time, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  MemoryStore store;
  std::map<std::string, StoreItem> known;
  int losses = 0;
  int returns = 0;
  int confirmed = 0;
  int failed_asks = 0;
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

Test(prefix_follower, a_removal_that_a_listing_found_is_told_to_peers) {
  Follower watcher(1);
  watcher.store.Put("x/a", "1");
  watcher.store.Put("x/b", "2");
  watcher.follower.Start();
  cr_assert(watcher.RunUntilEqual());
  const StorePosition before = watcher.follower.as_of();
  watcher.store.Remove("x/a");
  watcher.store.ForgetHistory();
  cr_assert(watcher.RunUntilEqual());
  cr_assert(watcher.follower.newest_change() > before);
}

Test(prefix_follower, a_first_list_covers_removals_before_it) {
  Follower late(1);
  late.store.Put("x/a", "1");
  late.store.Put("x/b", "2");
  late.follower.Start();
  cr_assert(late.RunUntilEqual());
  late.follower.SetPassive(true);
  late.RunFor(milliseconds(20));
  const StorePosition before = late.follower.as_of();
  late.store.Remove("x/a");
  PrefixFollower first(late.loop, late.store, "x/", kFastTimings, 2,
                       {.replaced = [](const auto&, ItemSource) {},
                        .changed = [](const StoreChange&) {},
                        .store_lost = [] {},
                        .store_recovered = [] {}});
  first.Start();
  late.RunFor(milliseconds(20));
  cr_assert(first.covering_position() > before);
  cr_assert(first.covering_position() <= first.as_of());
  first.SetPassive(true);
  late.RunFor(milliseconds(20));
}

Test(prefix_follower, a_passive_follower_that_asks_gets_what_it_lacks) {
  Follower passive(2);
  passive.store.Put("x/a", "1");
  passive.follower.SetPassive(true);
  passive.follower.Start();
  cr_assert(passive.RunUntilEqual());
  passive.store.Put("x/b", "2");
  const int confirmed = passive.confirmed;
  passive.store.FailNext(1);
  passive.follower.AskNow();
  passive.RunFor(milliseconds(10));
  cr_assert(passive.failed_asks == 1 && passive.confirmed == confirmed);
  passive.follower.AskNow();
  cr_assert(passive.RunUntilEqual());
  cr_assert(passive.confirmed == confirmed + 1 && passive.losses == 0);
}

Test(prefix_follower, a_failed_call_counts_as_a_complete_answer) {
  Follower passive(3);
  passive.store.Put("x/a", "1");
  passive.follower.SetPassive(true);
  passive.follower.Start();
  cr_assert(passive.RunUntilEqual());
  std::vector<bool> outcomes;
  const auto ask = [&] {
    return passive.follower.AskNow([&](bool is_complete) {
      outcomes.push_back(is_complete && passive.known == passive.store.items());
    });
  };
  passive.store.Put("x/b", "2");
  passive.store.FailNext(1);
  cr_assert(ask());
  cr_assert(!ask());
  passive.RunFor(milliseconds(10));
  cr_assert(outcomes == std::vector<bool>{false});
  cr_assert(ask());
  passive.RunFor(milliseconds(10));
  cr_assert((outcomes == std::vector<bool>{false, true}));
  // The store has lost the changes since the follower's position.
  passive.store.Put("x/c", "3");
  passive.store.ForgetHistory();
  cr_assert(ask());
  passive.RunFor(milliseconds(10));
  cr_assert((outcomes == std::vector<bool>{false, true, false}));
}

Test(prefix_follower, applies_a_peers_snapshot_only_if_it_is_newer) {
  Follower follower(4);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.follower.ApplyPeerSnapshot(
      PrefixSnapshot{.as_of = {.history = 1}, .items = {{"x/z", "old", 0}}});
  cr_assert(!follower.known.contains("x/z"));
  follower.follower.ApplyPeerSnapshot(PrefixSnapshot{
      .as_of = {.history = 1, .revision = follower.store.revision() + 10},
      .items = {{"x/z", "new", 9}}});
  cr_assert(follower.known.contains("x/z"));
  cr_assert(follower.follower.as_of().revision ==
            follower.store.revision() + 10);
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
      PrefixSnapshot{.as_of = {.history = 1, .revision = written + 1},
                     .newest_change = {.history = 1, .revision = written + 1},
                     .items = {StoreItem{"x/a", "1", 1}}});
  cr_assert(test.follower.newest_change().revision == written + 1);
  const TimerId limit =
      test.loop.Schedule(milliseconds(50), [&] { test.loop.Stop(); });
  test.loop.Run();
  test.loop.Cancel(limit);
  cr_assert(!test.known.contains("x/b"));
}

Test(prefix_follower, a_lost_change_is_told_as_one_of_the_later_history) {
  Follower follower(9);
  follower.store.KeepCopy();
  follower.store.Put("x/a", "lost in the restore");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.follower.newest_revision() == 1);
  follower.store.RestoreCopy();
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.follower.newest_revision() == 0);
}

Test(prefix_follower, a_change_after_a_restore_of_the_store_is_not_missed) {
  Follower follower(7);
  follower.store.Put("x/a", "1");
  follower.store.KeepCopy();
  follower.follower.Start();
  for (int change = 0; change < 20; ++change) {
    follower.store.Put("x/a", std::to_string(change));
  }
  cr_assert(follower.RunUntilEqual());
  follower.store.RestoreCopy();
  follower.store.Put("x/a", "after the restore");
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.follower.as_of().history == 2);
}

// The new history has passed the revision by the time of the next watch.
Test(prefix_follower, a_revision_given_out_again_hides_no_change) {
  Follower follower(8);
  follower.store.Put("x/a", "1");
  follower.store.KeepCopy();
  follower.follower.Start();
  follower.store.Put("x/b", "lost");
  follower.store.Put("x/c", "lost");
  cr_assert(follower.RunUntilEqual());
  follower.store.RestoreCopy();
  for (const char* key : {"x/d", "x/e", "x/f", "x/g"}) {
    follower.store.Put(key, "new");
  }
  cr_assert(follower.RunUntilEqual());
  cr_assert(!follower.known.contains("x/b"));
}

Test(prefix_follower, a_restore_between_two_pages_mixes_no_histories) {
  Follower follower(9);
  follower.store.KeepCopy();
  for (const char* key : {"x/a", "x/b", "x/c", "x/d", "x/e"}) {
    follower.store.Put(key, "lost");
  }
  int responses = 0;
  follower.store.OnResponse([&](StoreHistory) {
    if (++responses == 2) {
      follower.store.RestoreCopy();
      follower.store.Put("x/e", "new");
    }
  });
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.known.size() == 1);
}

Test(prefix_follower, a_late_response_of_an_earlier_history_changes_nothing) {
  Follower follower(10);
  follower.store.Put("x/a", "1");
  follower.store.NameHistory(2);
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.store.NameHistory(1);
  follower.store.Put("x/a", "of the earlier history");
  const TimerId limit =
      follower.loop.Schedule(milliseconds(50), [&] { follower.loop.Stop(); });
  follower.loop.Run();
  follower.loop.Cancel(limit);
  cr_assert(follower.known.at("x/a").value == "1");
  follower.store.NameHistory(2);
  cr_assert(follower.RunUntilEqual());
}

Test(prefix_follower, a_peers_snapshot_counts_by_history_before_revision) {
  Follower follower(11);
  follower.store.NameHistory(3);
  follower.store.Put("x/a", "1");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.follower.ApplyPeerSnapshot(
      PrefixSnapshot{.as_of = {.history = 2, .revision = 900},
                     .items = {{"x/a", "of an earlier history", 900}}});
  cr_assert(follower.known.at("x/a").value == "1");
  follower.follower.ApplyPeerSnapshot(
      PrefixSnapshot{.as_of = {.history = 4, .revision = 1},
                     .items = {{"x/a", "of a later history", 1}}});
  cr_assert(follower.known.at("x/a").value == "of a later history");
}

Test(prefix_follower, a_restore_seen_by_another_call_lists_at_once) {
  Follower follower(12);
  follower.store.Put("x/a", "1");
  follower.store.KeepCopy();
  follower.store.Put("x/b", "lost");
  follower.follower.Start();
  cr_assert(follower.RunUntilEqual());
  follower.store.OnResponse(
      [&](StoreHistory history) { follower.follower.NoteHistory(history); });
  follower.store.RestoreCopy();
  follower.follower.NoteHistory(2);
  cr_assert(follower.RunUntilEqual());
  cr_assert(follower.follower.as_of().history == 2);
}

// Random changes, restores, failures and lost histories.
Test(prefix_follower, converges_to_the_store_after_random_restores) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    Follower follower(seed);
    if (seed % 2 == 0) {
      follower.store.OnResponse([&](StoreHistory history) {
        follower.follower.NoteHistory(history);
      });
    }
    follower.follower.Start();
    for (int round = 0; round < 10; ++round) {
      if (random() % 3 == 0) {
        follower.store.KeepCopy();
      }
      for (int change = 0; change < 4; ++change) {
        const std::string key = "x/" + std::to_string(random() % 7);
        if (random() % 3 == 0) {
          follower.store.Remove(key);
        } else {
          follower.store.Put(key, std::to_string(random()));
        }
      }
      if (random() % 2 == 0) {
        follower.store.RestoreCopy();
      }
      if (random() % 5 == 0) {
        follower.store.ForgetHistory();
      }
      follower.store.FailNext(static_cast<int>(random() % 4));
      cr_assert(follower.RunUntilEqual(), "seed %lu", seed);
    }
  }
}

// Two of six nodes watch the store; the others fetch snapshots of peers.
Test(prefix_follower, nodes_that_follow_peers_converge_after_random_restores) {
  constexpr size_t kNodes = 6;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    Follower first(seed);
    std::vector<std::unique_ptr<PrefixFollower>> nodes;
    std::vector<std::map<std::string, StoreItem>> known(kNodes);
    for (size_t node = 0; node < kNodes; ++node) {
      nodes.push_back(std::make_unique<PrefixFollower>(
          first.loop, first.store, "x/", kFastTimings, seed + node,
          PrefixFollower::Handlers{
              .replaced =
                  [&known, node](const std::vector<StoreItem>& items,
                                 ItemSource) {
                    known[node].clear();
                    for (const StoreItem& item : items) {
                      known[node][item.key] = item;
                    }
                  },
              .changed =
                  [&known, node](const StoreChange& change) {
                    if (change.is_removed) {
                      known[node].erase(change.item.key);
                    } else {
                      known[node][change.item.key] = change.item;
                    }
                  },
              .store_lost = [] {},
              .store_recovered = [] {}}));
      nodes.back()->Start();
    }
    const auto exchange = [&](size_t reachable) {
      for (size_t node = 0; node < kNodes; ++node) {
        nodes[node]->SetPassive(node >= 2 && nodes[node]->has_state());
        std::vector<SnapshotPeer> peers;
        for (size_t peer = 0; peer < reachable; ++peer) {
          peers.push_back(
              SnapshotPeer{.newest_change = nodes[peer]->newest_change(),
                           .address = {.port = static_cast<uint16_t>(peer)}});
        }
        const auto best =
            ChooseSnapshotPeer(peers, nodes[node]->as_of(), random);
        if (!best) {
          continue;
        }
        const PrefixFollower& peer = *nodes[best->address.port];
        if (random() % 2 == 0) {
          nodes[node]->ApplyPeerSnapshot(peer.Snapshot());
        } else {
          cr_assert(nodes[node]->ApplyPeerChanges(
              peer.ChangesFor(nodes[node]->MakeChangesRequest())));
        }
      }
    };
    for (int round = 0; round < 6; ++round) {
      if (random() % 3 == 0) {
        first.store.KeepCopy();
      }
      for (int change = 0; change < 3; ++change) {
        first.store.Put("x/" + std::to_string(random() % 7),
                        std::to_string(random()));
      }
      if (random() % 2 == 0) {
        first.store.RestoreCopy();
        first.store.Put("x/0", std::to_string(random()));
      }
      first.store.FailNext(static_cast<int>(random() % 4));
      bool are_equal = false;
      for (int turn = 0; turn < 1000 && !are_equal; ++turn) {
        first.loop.Schedule(milliseconds(1), [&] { first.loop.Stop(); });
        first.loop.Run();
        exchange(turn < 10 ? 1 + random() % kNodes : kNodes);
        are_equal = std::all_of(
            known.begin(), known.end(),
            [&](const auto& items) { return items == first.store.items(); });
      }
      cr_assert(are_equal, "seed %lu", seed);
    }
  }
}

namespace {

// A follower that receives no responses of the store.
std::unique_ptr<PrefixFollower> MakePassiveFollower(Follower& active) {
  return std::make_unique<PrefixFollower>(
      active.loop, active.store, "x/", kFastTimings, 1,
      PrefixFollower::Handlers{
          .replaced = [](const std::vector<StoreItem>&, ItemSource) {},
          .changed = [](const StoreChange&) {},
          .store_lost = [] {},
          .store_recovered = [] {}});
}

std::string LongValue(std::mt19937_64& random, std::string value) {
  constexpr int kObjects = 100;
  if (value.empty()) {
    for (int object = 0; object < kObjects; ++object) {
      value +=
          "{\"number\":" + std::to_string(random()) + ",\"kind\":\"route\"},";
    }
  }
  const size_t at = random() % value.size();
  switch (random() % 3) {
    case 0:
      return value.insert(at, "{\"number\":" + std::to_string(random()) + "}");
    case 1:
      return value.erase(at, random() % 200);
    default:
      value[at] = 'x';
      return value;
  }
}

// Makes up to three random changes.
void ChangeStore(MemoryStore& store, std::mt19937_64& random) {
  for (uint64_t changes = random() % 4; changes > 0; --changes) {
    const std::string key = "x/" + std::to_string(random() % 8);
    const auto known = store.items().find(key);
    const std::string before =
        known == store.items().end() ? "" : known->second.value;
    switch (random() % 8) {
      case 0:
      case 1:
        if (!before.empty()) {
          store.Remove(key);
        }
        break;
      case 2:
        store.Put(key, std::to_string(random()));
        break;
      case 3:
        store.ForgetHistory();
        break;
      default:
        store.Put(key, LongValue(random, before.size() < kLongValueBytes
                                             ? std::string()
                                             : before));
    }
  }
}

}  // namespace

Test(prefix_follower, a_peer_that_receives_changes_ends_with_other_items) {
  constexpr int kRounds = 600;
  std::mt19937_64 random(42);
  Follower active(10);
  active.store.Put("x/a", "1");
  active.follower.Start();
  std::vector<std::unique_ptr<PrefixFollower>> passive;
  for (int i = 0; i < 3; ++i) {
    passive.push_back(MakePassiveFollower(active));
  }
  int partial = 0;
  int edited = 0;
  for (int round = 0; round < kRounds; ++round) {
    ChangeStore(active.store, random);
    if (random() % 50 == 0) {
      active.store.KeepCopy();
    }
    if (random() % 100 == 0 && round > kRounds / 2) {
      active.store.RestoreCopy();
    }
    cr_assert(active.RunUntilEqual());
    const size_t receiver = random() % passive.size();
    const PrefixFollower& sender =
        receiver == 0 ? active.follower : *passive[receiver - 1];
    if (!sender.has_state()) {
      continue;
    }
    const PrefixChanges changes =
        sender.ChangesFor(passive[receiver]->MakeChangesRequest());
    partial += changes.since ? 1 : 0;
    edited += changes.edited.empty() ? 0 : 1;
    cr_assert(passive[receiver]->ApplyPeerChanges(changes));
    if (passive[receiver]->as_of() == sender.as_of()) {
      cr_assert(passive[receiver]->Snapshot().items == sender.Snapshot().items,
                "round %d", round);
    }
  }
  cr_assert_gt(partial, kRounds / 4);
  cr_assert_gt(edited, kRounds / 20);
}

Test(prefix_follower, edits_of_another_value_are_taken) {
  std::mt19937_64 random(7);
  Follower active(11);
  active.store.Put("x/a", LongValue(random, ""));
  active.follower.Start();
  cr_assert(active.RunUntilEqual());
  const auto passive = MakePassiveFollower(active);
  cr_assert(passive->ApplyPeerChanges(
      active.follower.ChangesFor(passive->MakeChangesRequest())));
  active.store.Put("x/a", active.known.at("x/a").value + "{}");
  cr_assert(active.RunUntilEqual());
  PrefixChanges changes =
      active.follower.ChangesFor(passive->MakeChangesRequest());
  cr_assert_eq(changes.edited.size(), 1);
  ++changes.edited.front().hash;
  cr_assert(!passive->ApplyPeerChanges(changes));
  --changes.edited.front().hash;
  ++changes.edited.front().base_revision;
  cr_assert(!passive->ApplyPeerChanges(changes));
  --changes.edited.front().base_revision;
  cr_assert(passive->ApplyPeerChanges(changes));
  cr_assert(passive->Snapshot() == active.follower.Snapshot());
}
