#include "following/transfer_admission.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

constexpr size_t kConfigBytes = 250 * 1000;

}  // namespace

Test(transfer_admission, transfers_to_many_nodes_share_one_link_and_none_ends) {
  TransferAdmission admission(10);
  TimePoint now{};
  int admitted = 0;
  for (int node = 0; node < 13; ++node) {
    admitted += admission.Admit(kConfigBytes, now) ? 1 : 0;
  }
  // Of 0.2 s each; the last one begins within 0.3 s.
  cr_assert_eq(admitted, 2);
  cr_assert(admission.Admit(100, now));
  now += milliseconds(401);
  cr_assert(admission.Admit(kConfigBytes, now));
}

Test(transfer_admission, a_transfer_larger_than_the_backlog_never_begins) {
  TransferAdmission admission(10);
  cr_assert(admission.Admit(100 * kConfigBytes, TimePoint{}));
  cr_assert(!admission.Admit(kConfigBytes, TimePoint{}));
}

Test(transfer_admission, an_unknown_link_carries_everything_at_once) {
  TransferAdmission admission(0);
  cr_assert(admission.Admit(10 * kConfigBytes, TimePoint{}));
  cr_assert(!admission.Admit(10 * kConfigBytes, TimePoint{}));
}
