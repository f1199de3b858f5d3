#include "serving/buffer_budget.h"

namespace pistachiowalk {
namespace {

constexpr size_t kShortBodyBytes = 64 * 1024;
// A text that grows by appending has up to twice its size allocated.
constexpr size_t kAllocationFactor = 2;

}  // namespace

bool BufferBudget::Reserve(size_t& reserved, size_t size) {
  Release(reserved);
  const size_t bytes = size * kAllocationFactor;
  if (size > kShortBodyBytes && m_reserved_bytes + bytes > m_maximum_bytes) {
    return false;
  }
  reserved = bytes;
  m_reserved_bytes += bytes;
  return true;
}

void BufferBudget::Release(size_t& reserved) {
  m_reserved_bytes -= reserved;
  reserved = 0;
}

}  // namespace pistachiowalk
