#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "following/item_history.h"
#include "following/prefix_changes.h"
#include "net/event_loop.h"
#include "store/prefix_store.h"
#include "store/store_position.h"

namespace pistachiowalk {

// A follower's copy of its prefix, for transfer to a peer.
struct PrefixSnapshot {
  StorePosition as_of;
  // Of the same history as `as_of`.
  StorePosition newest_change;
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
// never reverts to an older position and stays available while the store is
// unreachable.
//
// When the store was restored from a copy, the prefix is listed again, as its
// revisions then belong to other changes. Responses of an earlier history that
// arrive after that are ignored.
class PrefixFollower {
 public:
  struct Handlers {
    // All items, after a list or from a peer's snapshot.
    std::function<void(const std::vector<StoreItem>& items, ItemSource source)>
        replaced;
    std::function<void(const StoreChange& change)> changed;
    // The items that the next call of `replaced` passes are of a later history
    // of the store than those before them, and may lack its last changes.
    std::function<void()> restored = [] {};
    // The store has answered with all changes up to now.
    std::function<void()> confirmed = [] {};
    // A call of AskNow() has failed.
    std::function<void()> ask_failed = [] {};
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
  // ApplyPeerSnapshot() or ApplyPeerChanges().
  void SetPassive(bool is_passive);
  bool is_passive() const { return m_is_passive; }
  // Called once the call has ended, with whether all changes up to when it was
  // sent have been applied.
  using AskCallback = std::function<void(bool is_complete)>;
  // Asks the store at once for changes, beside the watch that may be open and
  // also if passive, unless such a call is open already. Returns whether it was
  // sent; only then `ended` is called.
  bool AskNow(AskCallback ended = [](bool) {});
  // Called when a response to another call of this node named a later history
  // of the store.
  void NoteHistory(StoreHistory history);
  // Replaces the items by a peer's snapshot if that is newer.
  void ApplyPeerSnapshot(const PrefixSnapshot& snapshot);
  // Applies what a peer knows beyond this follower. Returns false if the
  // changes do not fit its items, so that a whole snapshot is needed.
  bool ApplyPeerChanges(const PrefixChanges& changes);

  const std::string& prefix() const { return m_prefix; }
  // Whether the items were fetched at least once.
  bool has_state() const { return m_as_of != StorePosition{}; }
  bool is_store_lost() const { return m_is_store_lost; }
  // All changes up to this position have been applied.
  StorePosition as_of() const { return m_as_of; }
  // Position of the newest change that was seen; a peer with a lower as_of()
  // has not applied it.
  StorePosition newest_change() const { return m_newest_change; }
  // Its revision in the history of as_of(); 0 if it is of an earlier one.
  StoreRevision newest_revision() const {
    return m_newest_change.history == m_as_of.history ? m_newest_change.revision
                                                      : 0;
  }
  // A follower that has applied all changes up to this position has all that
  // this one has. After a first listing it is past newest_change(), as no list
  // has the keys that were removed before.
  StorePosition covering_position() const { return m_covering_position; }
  PrefixSnapshot Snapshot() const;
  PrefixChangesRequest MakeChangesRequest() const;
  // The changes that the sender of `request` lacks, or all items if these are
  // not known.
  PrefixChanges ChangesFor(const PrefixChangesRequest& request) const;

 private:
  void List(const std::string& after_key);
  void OnPage(const StorePage& page);
  void Watch();
  // Abandons the pending call, if any, and lists the prefix from its start.
  void ListAgain();
  // Whether the response to a call belongs to an earlier history than the one
  // that is known.
  bool IsOutdated(StoreHistory history) const { return history < m_history; }
  // `asked_as_of` is the position after which changes were asked for.
  void OnChanges(StorePosition asked_as_of, const StoreChanges& changes);
  // Applies what the store has answered in the history of the items.
  void ApplyAnswer(const StoreChanges& changes);
  void ApplyChange(const StoreChange& change);
  void Replace(std::map<std::string, StoreItem> items,
               StorePosition as_of,
               ItemSource source);
  // Records the differences between the items and `next`, which replace them.
  void RecordReplacement(const std::map<std::string, StoreItem>& next,
                         StorePosition as_of);
  // The items of a peer that has applied `changes`; nullopt if they do not fit.
  std::optional<std::map<std::string, StoreItem>> ItemsAfter(
      const PrefixChanges& changes) const;
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
  ItemHistory m_item_history;
  StorePosition m_as_of;
  StorePosition m_newest_change;
  StorePosition m_covering_position;
  // The latest history of the store that is known, 0 for none.
  StoreHistory m_history = 0;
  std::map<std::string, StoreItem> m_listing;
  std::optional<StorePosition> m_listing_as_of;
  // Number of the sequence of calls in use; responses to the calls of earlier
  // sequences are ignored.
  uint64_t m_sequence = 0;
  uint32_t m_failures = 0;
  bool m_is_store_lost = false;
  bool m_is_passive = false;
  bool m_is_asking = false;
  // A watch was due while the follower was passive.
  bool m_is_watch_deferred = false;
  TimerId m_retry_timer = 0;
  TimerId m_batch_timer = 0;
  // Lets pending callbacks detect that the follower was destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
