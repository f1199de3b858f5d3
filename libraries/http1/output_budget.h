#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace pistachiowalk {

// The memory that the connections of a service hold as their clients do not
// read: responses that have not been passed to the socket, and requests that
// wait behind them. Counts what is allocated.
class OutputBudget {
 public:
  void SetMaximum(size_t bytes) { m_maximum_bytes = bytes; }
  size_t held_bytes() const { return m_held_bytes; }
  // Bytes held beyond the maximum.
  size_t ExcessBytes() const {
    return m_held_bytes - std::min(m_held_bytes, m_maximum_bytes);
  }
  // `handler` is called when more is held and that is beyond the maximum.
  void SetExcessHandler(std::function<void()> handler) {
    m_on_excess = std::move(handler);
  }

 private:
  friend class OutputReservation;

  static constexpr size_t kDefaultMaximumBytes = size_t{64} * 1024 * 1024;

  size_t m_maximum_bytes = kDefaultMaximumBytes;
  size_t m_held_bytes = 0;
  std::function<void()> m_on_excess;
};

// What one connection holds of a budget; released by the destructor.
class OutputReservation {
 public:
  explicit OutputReservation(std::shared_ptr<OutputBudget> budget)
      : m_budget(std::move(budget)) {}
  ~OutputReservation() { Hold(0); }
  OutputReservation(const OutputReservation&) = delete;
  OutputReservation& operator=(const OutputReservation&) = delete;

  // Replaces what is held. Memory is held already, so this cannot fail.
  void Hold(size_t bytes) {
    const bool is_more = bytes > m_bytes;
    m_budget->m_held_bytes += bytes - m_bytes;
    m_bytes = bytes;
    if (is_more && m_budget->ExcessBytes() > 0 && m_budget->m_on_excess) {
      m_budget->m_on_excess();
    }
  }
  size_t bytes() const { return m_bytes; }

 private:
  std::shared_ptr<OutputBudget> m_budget;
  size_t m_bytes = 0;
};

}  // namespace pistachiowalk
