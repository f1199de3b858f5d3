#include "following/endpoint_freshness.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Network delay of a message, with an allowance for a short queue.
constexpr Duration kMessageDelay = std::chrono::milliseconds(100);
constexpr size_t kMaximumTold = 64;
// Ages, as shares of the bound, at which nodes ask the store, and the range
// over which they are spread.
constexpr double kTellerAskShare = 0.25;
constexpr double kOtherAskShare = 0.36;
constexpr double kAskSpread = 0.1;
// Delay until a failed call is repeated: a share of the bound, and longer the
// longer the list is unconfirmed.
constexpr int kAskRetryDivisor = 8;
constexpr Duration kMaximumAskDelay = std::chrono::milliseconds(2000);
// A call that has waited for this part of the bound counts as failed.
constexpr int kSilentAskDivisor = 16;
constexpr int kTellStepDivisor = 8;
constexpr int kTellRepeatDivisor = 4;

Duration Share(Duration bound, double share) {
  return std::chrono::duration_cast<Duration>(bound * share);
}

// NOTE: A call that waits for long counts as failed, as a store that is away
// for all would stop service until its calls time out.
bool IsStoreSilent(const ListFreshness& freshness,
                   Duration bound,
                   TimePoint now) {
  return (freshness.failed_at && freshness.failed_at > freshness.answered_at) ||
         (freshness.asked_at &&
          now - *freshness.asked_at >= bound / kSilentAskDivisor);
}

bool HearsPeers(const ListFreshness& freshness, Duration bound, TimePoint now) {
  return freshness.told_at && now - *freshness.told_at <= bound / 2;
}

void Confirm(ListFreshness& freshness,
             const ListFreshness::Complete& complete) {
  if (complete.at > freshness.confirmed.at) {
    freshness.confirmed = complete;
  }
}

}  // namespace

void NoteStoreAsked(ListFreshness& freshness, TimePoint now) {
  freshness.asked_at = now;
}

void NoteStoreAnswer(ListFreshness& freshness, TimePoint now) {
  freshness.asked_at.reset();
  freshness.answered_at = now;
  freshness.store_seen_at = std::max(freshness.store_seen_at, now);
  Confirm(freshness, {.at = now, .source = "store"});
}

void NoteStoreFailure(ListFreshness& freshness, TimePoint now) {
  freshness.asked_at.reset();
  freshness.failed_at = now;
}

void NotePeerList(ListFreshness& freshness,
                  const ListConfirmation& told,
                  StorePosition as_of,
                  TimePoint now) {
  freshness.told_at = now;
  freshness.told_by = told.node.value();
  const TimePoint complete_at =
      now - kMessageDelay - std::chrono::milliseconds(told.age_milliseconds);
  freshness.store_seen_at = std::max(freshness.store_seen_at, complete_at);
  ListFreshness::Complete& known = freshness.told[StorePosition{
      .history = told.history, .revision = told.revision}];
  if (complete_at > known.at) {
    known = {.at = complete_at, .source = told.node.value()};
  }
  NoteApplied(freshness, as_of);
  if (freshness.told.size() > kMaximumTold) {
    freshness.told.erase(freshness.told.begin());
  }
}

void NoteApplied(ListFreshness& freshness, StorePosition as_of) {
  const auto end = freshness.told.upper_bound(as_of);
  for (auto known = freshness.told.begin(); known != end; ++known) {
    Confirm(freshness, known->second);
  }
  freshness.told.erase(freshness.told.begin(), end);
}

ListState JudgeList(const ListFreshness& freshness,
                    Duration bound,
                    bool has_peers,
                    TimePoint now) {
  const Duration allowed = bound / 2;
  if (now - freshness.confirmed.at <= allowed) {
    return ListState::kConfirmed;
  }
  if (now - freshness.store_seen_at <= allowed) {
    return ListState::kUnconfirmed;
  }
  const bool is_away = IsStoreSilent(freshness, bound, now) &&
                       (HearsPeers(freshness, bound, now) || !has_peers);
  return is_away ? ListState::kStoreAway : ListState::kUnconfirmed;
}

bool IsCutOff(const ListFreshness& freshness, Duration bound, TimePoint now) {
  return IsStoreSilent(freshness, bound, now) &&
         !HearsPeers(freshness, bound, now);
}

bool IsAskDue(const ListFreshness& freshness,
              Duration bound,
              bool is_teller,
              double draw,
              TimePoint now) {
  if (freshness.asked_at) {
    return false;
  }
  const Duration age = now - freshness.confirmed.at;
  const double share = is_teller ? kTellerAskShare : kOtherAskShare;
  if (age < Share(bound, share + kAskSpread * draw)) {
    return false;
  }
  const Duration delay = std::clamp<Duration>(
      age / kAskRetryDivisor, bound / kAskRetryDivisor, kMaximumAskDelay);
  return !freshness.failed_at || now - *freshness.failed_at >= delay;
}

bool IsTellDue(const ListFreshness& freshness,
               Duration bound,
               TimePoint confirmed_when_sent,
               TimePoint sent_at,
               TimePoint now) {
  return freshness.confirmed.at - confirmed_when_sent >=
             bound / kTellStepDivisor ||
         now - sent_at >= bound / kTellRepeatDivisor;
}

}  // namespace pistachiowalk
