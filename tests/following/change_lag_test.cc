#include "following/change_lag.h"

#include "store/store_position.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

StorePosition At(StoreHistory history, StoreRevision revision) {
  return StorePosition{.history = history, .revision = revision};
}

}  // namespace

Test(change_lag, a_node_that_keeps_up_with_a_series_counts_as_far_behind) {
  ChangeLag<StorePosition> lag;
  // Each change is heard of at once and applied one step later.
  for (uint64_t change = 1; change <= 20; ++change) {
    const TimePoint now = kStart + milliseconds(300) * change;
    lag.Update(At(1, change), At(1, change - 1), now);
    cr_assert(lag.behind_since() == now);
  }
  lag.Update(At(1, 20), At(1, 20), kStart + milliseconds(6300));
  cr_assert(!lag.behind_since());
}

Test(change_lag, a_change_that_stays_away_is_forgotten_for_newer_ones) {
  ChangeLag<StorePosition> lag;
  for (uint64_t change = 2; change <= 600; ++change) {
    lag.Update(At(1, change), At(1, 1), kStart + milliseconds(100) * change);
  }
  cr_assert(lag.behind_since() == kStart + milliseconds(200));
}

Test(change_lag, a_node_stays_behind_a_peer_that_ended) {
  ChangeLag<StorePosition> lag;
  lag.Update(At(1, 9), At(1, 5), kStart);
  lag.Update(At(1, 5), At(1, 5), kStart + milliseconds(100));
  cr_assert(!lag.behind_since());
}

Test(change_lag, the_end_of_one_of_two_newer_peers_starts_the_count_anew) {
  ChangeLag<StorePosition> lag;
  lag.Update(At(1, 9), At(1, 5), kStart);
  lag.Update(At(1, 8), At(1, 5), kStart + milliseconds(100));
  cr_assert(lag.behind_since() == kStart);
}

Test(change_lag, a_lower_revision_of_a_restored_store_counts_as_applied) {
  ChangeLag<StorePosition> lag;
  lag.Update(At(2, 5), At(1, 90), kStart);
  cr_assert(lag.behind_since() == kStart);
}
