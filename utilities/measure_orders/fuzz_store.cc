#include "fuzz_store.h"

#include <chrono>

namespace pistachiowalk::measure {

void FuzzStore::Call(size_t caller, const StoreCall& call, TimePoint now) {
  using std::chrono::milliseconds;
  Pending pending{.caller = caller, .call = call};
  const uint64_t draw = m_generator() % 100;
  pending.done_at = now + milliseconds(5 + m_generator() % 200);
  if (now < m_outage_until) {
    // Half of the calls hang, half are refused.
    pending.is_refused = draw < 50;
    if (!pending.is_refused) {
      return;
    }
  } else if (draw < 3) {
    return;
  } else if (draw < 8) {
    pending.is_answer_lost = true;
  } else if (draw < 11) {
    pending.done_at = now + milliseconds(2000 + m_generator() % 6000);
  } else if (draw < 14) {
    pending.is_refused = true;
  }
  m_pending.push_back(pending);
}

StoreResult FuzzStore::Perform(const StoreCall& call) {
  Item& item = m_items[call.key];
  if (call.kind == StoreCall::Kind::kRead) {
    return StoreResult{StoreStatus::kOk, item.revision, item.value};
  }
  if (item.revision != call.expected) {
    return StoreResult{StoreStatus::kConflict, item.revision, item.value};
  }
  item = Item{.revision = ++m_last_revision, .value = call.value};
  return StoreResult{StoreStatus::kOk, item.revision, item.value};
}

std::vector<FuzzStore::Answer> FuzzStore::Step(TimePoint now) {
  std::vector<Answer> answers;
  std::vector<Pending> left;
  for (const Pending& pending : m_pending) {
    if (now < pending.done_at) {
      left.push_back(pending);
      continue;
    }
    const StoreResult result =
        pending.is_refused ? StoreResult{StoreStatus::kUnavailable, 0, ""}
                           : Perform(pending.call);
    if (!pending.is_answer_lost) {
      answers.push_back(Answer{.caller = pending.caller,
                               .number = pending.call.number,
                               .key = pending.call.key,
                               .result = result});
    }
  }
  m_pending = std::move(left);
  return answers;
}

}  // namespace pistachiowalk::measure
