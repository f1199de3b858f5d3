#include "serving/repeat_budget.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Part of the stated ratio and slack that is used, since the window slides
// and requests are counted elsewhere.
constexpr double kUsedPart = 0.7;

}  // namespace

void RepeatBudget::Refill(const RepeatTerms& terms, TimePoint now) {
  const double share = kUsedPart * terms.slack / std::max(1.0, terms.nodes);
  if (m_refilled_at == TimePoint{}) {
    m_balance = share / 2.0;
  } else {
    const double windows =
        std::chrono::duration<double>(now - m_refilled_at).count() /
        std::chrono::duration<double>(terms.window).count();
    m_balance = std::min(share / 2.0, m_balance + share / 2.0 * windows);
  }
  m_refilled_at = now;
}

void RepeatBudget::NoteRequest(const RepeatTerms& terms, TimePoint now) {
  Refill(terms, now);
  m_balance += kUsedPart * terms.ratio;
}

bool RepeatBudget::CanRepeat(const RepeatTerms& terms, TimePoint now) {
  Refill(terms, now);
  return m_balance >= 1.0;
}

}  // namespace pistachiowalk
