#pragma once

#include <cstddef>

namespace pistachiowalk {

// The memory in which a node holds parts of responses, over all of its
// connections. Workers may send bytes without end, to many requests at once.
//
// A response always has room for a short body, so that others do not cost it.
class BufferBudget {
 public:
  // `maximum_bytes` is for everything beyond short bodies.
  explicit BufferBudget(size_t maximum_bytes = 0)
      : m_maximum_bytes(maximum_bytes) {}

  // Replaces the reservation `reserved` of a response by one for a text of
  // `size` bytes. Returns false, with no reservation left, if there is no room.
  bool Reserve(size_t& reserved, size_t size);
  void Release(size_t& reserved);
  // Bytes that the allocator may hold for all reservations.
  size_t reserved_bytes() const { return m_reserved_bytes; }
  void SetMaximum(size_t bytes) { m_maximum_bytes = bytes; }

 private:
  size_t m_maximum_bytes;
  size_t m_reserved_bytes = 0;
};

}  // namespace pistachiowalk
