#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"
#include "store/prefix_store.h"

namespace pistachiowalk {

// A follower's copy of its prefix, for transfer to a peer.
struct PrefixSnapshot {
  StoreRevision as_of = 0;
  StoreRevision newest_change = 0;
  std::vector<StoreItem> items;

  friend auto operator<=>(const PrefixSnapshot&,
                          const PrefixSnapshot&) = default;
};

// Where a follower's items came from.
enum class ItemSource { kStore, kPeer };

// Timeouts and delays of a PrefixFollower.
struct FollowerTimings {
  // A watch without changes ends after this time, so that a dead connection is
  // detected within four seconds.
  std::chrono::milliseconds watch_timeout{3000};
  // Delay of the next watch after changes, so that changes that occur together
  // arrive in one call.
  std::chrono::milliseconds batch_delay{250};
  // Exponential backoff after failed calls: initial value and upper limit.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds maximum_backoff{1000};

  friend auto operator<=>(const FollowerTimings&,
                          const FollowerTimings&) = default;
};

// Keeps a copy of all keys of one prefix by listing and watching them. The copy
// never reverts to an older revision and stays available while the store is
// unreachable.
class PrefixFollower {
 public:
  struct Handlers {
    // All items, after a list or from a peer's snapshot.
    std::function<void(const std::vector<StoreItem>& items, ItemSource source)>
        replaced;
    std::function<void(const StoreChange& change)> changed;
    std::function<void()> store_lost;
    std::function<void()> store_recovered;
  };

  PrefixFollower(EventLoop& loop,
                 PrefixStore& store,
                 std::string prefix,
                 FollowerTimings timings,
                 uint64_t seed,
                 Handlers handlers);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  void Start();
  // A passive follower sends no watches to the store; its owner updates it with
  // ApplyPeerSnapshot().
  void SetPassive(bool is_passive);
  bool is_passive() const { return m_is_passive; }
  // Replaces the items by a peer's snapshot if that is newer.
  void ApplyPeerSnapshot(const PrefixSnapshot& snapshot);

  const std::string& prefix() const { return m_prefix; }
  // Whether the items were fetched at least once.
  bool has_state() const { return m_as_of != 0; }
  bool is_store_lost() const { return m_is_store_lost; }
  // All changes up to this revision have been applied.
  StoreRevision as_of() const { return m_as_of; }
  // Revision of the newest change that was seen; a peer with a lower as_of()
  // has not applied it.
  StoreRevision newest_change() const { return m_newest_change; }
  PrefixSnapshot Snapshot() const;

 private:
  void List(const std::string& after_key);
  void OnPage(const StorePage& page);
  void Watch();
  void OnChanges(const StoreChanges& changes);
  void ApplyChange(const StoreChange& change);
  void Replace(std::map<std::string, StoreItem> items,
               StoreRevision as_of,
               ItemSource source);
  void OnCallFailed();
  void OnCallSucceeded();
  // Runs `step` after a backoff that grows with each failure.
  void Retry(std::function<void()> step);

  EventLoop& m_loop;
  PrefixStore& m_store;
  std::string m_prefix;
  FollowerTimings m_timings;
  std::mt19937_64 m_random;
  Handlers m_handlers;
  std::map<std::string, StoreItem> m_items;
  StoreRevision m_as_of = 0;
  StoreRevision m_newest_change = 0;
  std::map<std::string, StoreItem> m_listing;
  StoreRevision m_listing_as_of = 0;
  uint32_t m_failures = 0;
  bool m_is_store_lost = false;
  bool m_is_passive = false;
  // A watch was due while the follower was passive.
  bool m_is_watch_deferred = false;
  TimerId m_retry_timer = 0;
  TimerId m_batch_timer = 0;
  // Lets pending callbacks detect that the follower was destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
