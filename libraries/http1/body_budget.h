#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace pistachiowalk {

// A body up to this size has room of its own.
inline constexpr size_t kShortBodyBytes = 32 * 1024;

// The memory in which a node holds requests, over all of its connections: while
// they are received, wait for an endpoint, or are kept for a further attempt.
// Counts what is allocated.
//
// Short bodies and long ones have a part each, so that callers that hold long
// bodies do not cost others their responses. In each part one body at a time
// may go beyond what others may use, so that bodies which all wait for room do
// not block each other: one of them can always be received to its end. For long
// bodies there is a reserve; for a short one its maximum does not apply.
class BodyBudget {
 public:
  struct Part {
    size_t maximum_bytes = 0;
    // Of the maximum.
    size_t reserve_bytes = 0;

    friend bool operator==(const Part&, const Part&) = default;
  };

  BodyBudget();

  void SetParts(const Part& long_bodies, const Part& short_bodies) {
    m_parts[0] = short_bodies;
    m_parts[1] = long_bodies;
  }
  size_t reserved_bytes() const {
    return m_reserved_bytes[0] + m_reserved_bytes[1];
  }
  // Bytes of long bodies, or of short ones, that can still be reserved, by the
  // body that may use the reserve or by others.
  size_t FreeBytes(bool is_long, bool may_use_reserve) const;
  // `handler` is called when a body begins to wait for room, and when there is
  // more room while one waits.
  void SetRoomHandler(std::function<void()> handler) {
    m_on_room = std::move(handler);
  }
  // Whether short bodies hold twice their maximum, in heads and bodies that
  // were read before there was a reservation; further ones are refused.
  bool IsOverfull() const;
  void AddWaiter();
  void RemoveWaiter() { --m_waiters; }
  // Bodies that wait for room.
  size_t waiters() const { return m_waiters; }

 private:
  friend class BodyReservation;

  // Of short bodies and of long ones.
  Part m_parts[2];
  size_t m_reserved_bytes[2] = {0, 0};
  size_t m_waiters = 0;
  std::function<void()> m_on_room;
};

// The part of a budget that one request holds; released by the destructor.
class BodyReservation {
 public:
  explicit BodyReservation(std::shared_ptr<BodyBudget> budget)
      : m_budget(std::move(budget)) {}
  ~BodyReservation() { Release(); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  // Replaces the reservation by one of `bytes`, for a body that takes
  // `body_bytes` of them. Returns false, and changes nothing, if there is no
  // room. A smaller reservation always has room.
  bool TryReserve(size_t bytes, size_t body_bytes, bool may_use_reserve);
  // As TryReserve(), for memory that is held already, whether there is room or
  // not.
  void Reserve(size_t bytes, size_t body_bytes);
  void Release() { Reserve(0, 0); }
  size_t bytes() const { return m_bytes; }
  bool is_long() const { return m_is_long; }
  const std::shared_ptr<BodyBudget>& budget() const { return m_budget; }

 private:
  std::shared_ptr<BodyBudget> m_budget;
  size_t m_bytes = 0;
  bool m_is_long = false;
};

}  // namespace pistachiowalk
