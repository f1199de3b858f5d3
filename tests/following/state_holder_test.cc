#include "following/state_holder.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

StateHolder MakeHolder(StoreRevision newest_change,
                       bool is_near,
                       uint32_t link_megabits) {
  return StateHolder{.newest_change = newest_change,
                     .is_near = is_near,
                     .link_megabits = link_megabits,
                     .address = SocketAddress{.ip = "10.0.0.1", .port = 7600}};
}

}  // namespace

Test(state_holder, a_node_that_lacks_nothing_asks_nobody) {
  cr_assert(!ChooseStateHolder({}, 5));
  cr_assert(!ChooseStateHolder(
      {MakeHolder(5, true, 200), MakeHolder(4, true, 10)}, 5));
}

// Both nodes of a data centre that watch the store were turned away by it while
// a key was revoked; only other data centres had seen the change.
Test(state_holder, a_change_that_only_distant_nodes_have_seen_is_asked_for) {
  const auto holder = ChooseStateHolder(
      {MakeHolder(5, true, 200), MakeHolder(9, false, 10)}, 5);
  cr_assert(holder && holder->newest_change == 9);
}

Test(state_holder, of_equals_a_near_node_on_a_wide_link_is_asked) {
  const auto holder =
      ChooseStateHolder({MakeHolder(9, false, 200), MakeHolder(9, true, 10),
                         MakeHolder(9, true, 200), MakeHolder(8, true, 400)},
                        5);
  cr_assert(holder == MakeHolder(9, true, 200));
}
