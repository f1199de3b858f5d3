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

// What a follower knows of its prefix, to be told to a peer.
struct PrefixSnapshot {
  StoreRevision as_of = 0;
  StoreRevision newest_change = 0;
  std::vector<StoreItem> items;

  friend auto operator<=>(const PrefixSnapshot&,
                          const PrefixSnapshot&) = default;
};

// Who told a follower its state.
enum class StateSource { kStore, kPeer };

// Times of following a prefix.
struct FollowerTimings {
  // A watch without changes is repeated after this long, so that a connection
  // that has gone silent is found out within four seconds.
  std::chrono::milliseconds watch_timeout{3000};
  // After changes the next watch waits this long, so that what changes
  // together is told by one call.
  std::chrono::milliseconds batch_delay{250};
  // Pauses after a failed call: the first, and the longest by doubling.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds maximum_backoff{1000};

  friend auto operator<=>(const FollowerTimings&,
                          const FollowerTimings&) = default;
};

// Keeps a copy of all keys of one prefix by listing and watching them. It
// never goes back behind a revision that it has seen, and goes on with what it
// knows while the store is away.
class PrefixFollower {
 public:
  struct Handlers {
    // All items anew, after a list or from a peer.
    std::function<void(const std::vector<StoreItem>& items, StateSource source)>
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
  // A passive follower asks the store for nothing once it has a state; its
  // owner feeds it by ApplyPeerSnapshot().
  void SetPassive(bool is_passive);
  bool is_passive() const { return m_is_passive; }
  // Takes over what a peer knows, if it is newer.
  void ApplyPeerSnapshot(const PrefixSnapshot& snapshot);

  const std::string& prefix() const { return m_prefix; }
  // Whether all items were known once.
  bool has_state() const { return m_as_of != 0; }
  bool is_store_lost() const { return m_is_store_lost; }
  // All changes up to this revision are known.
  StoreRevision as_of() const { return m_as_of; }
  // The newest change that was seen. A peer whose as_of() is lower lacks it.
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
               StateSource source);
  void OnCallFailed();
  void OnCallSucceeded();
  // Runs `step` after a pause that grows with each failure.
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
  // Lets answers find out that the follower is gone.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
