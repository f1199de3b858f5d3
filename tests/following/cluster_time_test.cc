#include "following/cluster_time.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::system_clock;

const TimePoint kNow(seconds(100));
const system_clock::time_point kWall(seconds(1700000000));

}  // namespace

Test(cluster_time, a_wrong_clock_at_the_start_is_corrected) {
  ClusterTime time(kNow, kWall + seconds(3));
  time.Synchronize({kWall, kWall + milliseconds(20), kWall - milliseconds(10)},
                   kNow);
  cr_assert(std::chrono::abs(time.At(kNow) - kWall) <= milliseconds(50));
  cr_assert(time.At(kNow + seconds(2)) - time.At(kNow) == seconds(2));
}

Test(cluster_time, one_node_with_a_wrong_clock_changes_nothing) {
  ClusterTime time(kNow, kWall);
  time.Synchronize({kWall + seconds(9), kWall, kWall}, kNow);
  cr_assert(time.At(kNow) == kWall);
}

Test(cluster_time, too_few_peers_are_no_majority) {
  ClusterTime time(kNow, kWall);
  time.Synchronize({kWall + seconds(9)}, kNow);
  cr_assert(time.At(kNow) == kWall);
}
