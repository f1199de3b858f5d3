#include "http1/body_budget.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Of a node that does not know its machine's memory.
constexpr size_t kMebibyte = 1024 * 1024;
constexpr BodyBudget::Part kDefaultLongBodies{.maximum_bytes = 64 * kMebibyte,
                                              .reserve_bytes = 9 * kMebibyte};
constexpr BodyBudget::Part kDefaultShortBodies{.maximum_bytes = 32 * kMebibyte};

}  // namespace

BodyBudget::BodyBudget() {
  SetParts(kDefaultLongBodies, kDefaultShortBodies);
}

size_t BodyBudget::FreeBytes(bool is_long, bool may_use_reserve) const {
  const Part& part = m_parts[is_long ? 1 : 0];
  const size_t maximum =
      part.maximum_bytes - (may_use_reserve ? 0 : part.reserve_bytes);
  return maximum - std::min(maximum, m_reserved_bytes[is_long ? 1 : 0]);
}

bool BodyBudget::IsOverfull() const {
  constexpr size_t kOverfullFactor = 2;
  return m_reserved_bytes[0] > kOverfullFactor * m_parts[0].maximum_bytes;
}

void BodyBudget::AddWaiter() {
  ++m_waiters;
  if (m_on_room) {
    m_on_room();
  }
}

bool BodyReservation::TryReserve(size_t bytes,
                                 size_t body_bytes,
                                 bool may_use_reserve) {
  const bool is_long = body_bytes > kShortBodyBytes;
  const size_t held = is_long == m_is_long ? m_bytes : 0;
  // NOTE: Without this, parts of short bodies that were read before there was
  // a reservation could fill their part, and none of them would go on.
  const bool is_forced = may_use_reserve && !is_long;
  if (!is_forced && bytes > held &&
      bytes - held > m_budget->FreeBytes(is_long, may_use_reserve)) {
    return false;
  }
  Reserve(bytes, body_bytes);
  return true;
}

void BodyReservation::Reserve(size_t bytes, size_t body_bytes) {
  const size_t before = m_budget->reserved_bytes();
  m_budget->m_reserved_bytes[m_is_long ? 1 : 0] -= m_bytes;
  m_is_long = body_bytes > kShortBodyBytes;
  m_bytes = bytes;
  m_budget->m_reserved_bytes[m_is_long ? 1 : 0] += m_bytes;
  if (m_budget->reserved_bytes() < before && m_budget->m_waiters > 0 &&
      m_budget->m_on_room) {
    m_budget->m_on_room();
  }
}

}  // namespace pistachiowalk
