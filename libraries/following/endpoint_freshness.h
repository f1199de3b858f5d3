#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "following/list_confirmation.h"
#include "store/store_position.h"

namespace pistachiowalk {

// What a node knows of how recent its list of endpoints is. The functions below
// do no I/O.
//
// A node that misses all messages of a change does not hear that it misses
// them. So it counts how long ago its list was last known to be complete: when
// the store answered it, or answered a peer whose changes it has applied too.
struct ListFreshness {
  // A list that was complete at a time, and the node that had it.
  struct Complete {
    TimePoint at{};
    std::string source;
  };

  // The latest time at which this node's list was complete.
  Complete confirmed;
  // The latest time at which the list of any node that tells this one was
  // complete, whether or not this node has its changes.
  TimePoint store_seen_at{};
  // Lists of peers by their newest change, which this node lacks.
  std::map<StorePosition, Complete> told;
  std::optional<TimePoint> told_at;
  std::string told_by;
  // The store's last answer to this node, and its last failed call.
  std::optional<TimePoint> answered_at;
  std::optional<TimePoint> failed_at;
  // Since when a call has been waiting for the store's answer.
  std::optional<TimePoint> asked_at;
};

enum class ListState : uint8_t {
  kConfirmed,
  // It may lack changes that are due to be heeded.
  kUnconfirmed,
  // The store answers neither this node nor those that it hears. The list is
  // used as it is, as no node can have a newer one.
  kStoreAway,
};

// The node has asked the store.
void NoteStoreAsked(ListFreshness& freshness, TimePoint now);
// The store has answered with all changes up to now.
void NoteStoreAnswer(ListFreshness& freshness, TimePoint now);
void NoteStoreFailure(ListFreshness& freshness, TimePoint now);
// Stores what a peer tells. `as_of`: this node has all changes up to there.
void NotePeerList(ListFreshness& freshness,
                  const ListConfirmation& told,
                  StorePosition as_of,
                  TimePoint now);
// Called when this node has applied all changes up to `as_of`.
void NoteApplied(ListFreshness& freshness, StorePosition as_of);

// `bound` is the time in which changes of the list are due to be heeded. Half
// of it is for the change to arrive, the other half for the requests that are
// under way. `has_peers`: other nodes are known, heard or not.
ListState JudgeList(const ListFreshness& freshness,
                    Duration bound,
                    bool has_peers,
                    TimePoint now);
// Whether the store and all peers are silent to a node that knows of peers.
bool IsCutOff(const ListFreshness& freshness, Duration bound, TimePoint now);
// Whether the node asks the store itself whether its list is complete. Nodes
// that tell others do so sooner; `draw`, uniform in [0, 1) and fixed for the
// node, makes one of them the first, and its answer confirms the others.
bool IsAskDue(const ListFreshness& freshness,
              Duration bound,
              bool is_teller,
              double draw,
              TimePoint now);
// What the node tells, if that is due: the list is confirmed to a later time
// than told before, or the last message, sent at `sent_at`, may be lost.
bool IsTellDue(const ListFreshness& freshness,
               Duration bound,
               TimePoint confirmed_when_sent,
               TimePoint sent_at,
               TimePoint now);

}  // namespace pistachiowalk
