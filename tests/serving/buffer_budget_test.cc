#include "serving/buffer_budget.h"

#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr size_t kKibibyte = 1024;
constexpr size_t kMebibyte = 1024 * kKibibyte;

}  // namespace

Test(buffer_budget, many_long_responses_together_exceed_the_memory) {
  BufferBudget budget(20 * kMebibyte);
  std::vector<size_t> reserved(480, 0);
  size_t granted = 0;
  for (size_t& response : reserved) {
    granted += budget.Reserve(response, kMebibyte) ? 1 : 0;
  }
  cr_assert_eq(granted, 10);
  cr_assert_leq(budget.reserved_bytes(), 20 * kMebibyte);
  size_t sound = 0;
  cr_assert(budget.Reserve(sound, 10 * kKibibyte));
  budget.Release(sound);
  for (size_t& response : reserved) {
    budget.Release(response);
  }
  cr_assert_eq(budget.reserved_bytes(), 0);
}

Test(buffer_budget, a_refused_response_keeps_its_reservation) {
  BufferBudget budget(kMebibyte);
  size_t response = 0;
  cr_assert(budget.Reserve(response, 500 * kKibibyte));
  cr_assert(!budget.Reserve(response, 600 * kKibibyte));
  cr_assert_eq(response, 0);
  cr_assert_eq(budget.reserved_bytes(), 0);
}
