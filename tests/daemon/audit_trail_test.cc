#include "daemon/audit_trail.h"

#include "support/criterion.h"
#include "support/manual_clock.h"

using namespace pistachiowalk;
using pistachiowalk::testing::ManualClock;

namespace {

std::deque<AuditEntry> ThreeEntries() {
  ManualClock clock;
  AuditTrail trail(clock, NodeId("n1"));
  for (const char* version : {"1", "2", "3"}) {
    trail.Record({.actor = "ops",
                  .subject = "bundle",
                  .action = "in_force",
                  .after = version});
  }
  return trail.entries();
}

}  // namespace

Test(audit_trail, an_intact_chain_has_no_broken_entry) {
  cr_assert(FindBrokenEntry(ThreeEntries()) == 0);
  cr_assert(FindBrokenEntry({}) == 0);
}

Test(audit_trail, detects_edited_missing_and_swapped_entries) {
  auto edited = ThreeEntries();
  edited[1].record.after = "9";
  cr_assert(FindBrokenEntry(edited) == 2);
  auto rehashed = edited;
  rehashed[1].hash = AuditEntryHash(rehashed[1]);
  cr_assert(FindBrokenEntry(rehashed) == 3);
  auto gap = ThreeEntries();
  gap.erase(gap.begin() + 1);
  cr_assert(FindBrokenEntry(gap) == 3);
  auto swapped = ThreeEntries();
  std::swap(swapped[0], swapped[1]);
  cr_assert(FindBrokenEntry(swapped) != 0);
}

Test(audit_trail, keeps_the_latest_entries) {
  ManualClock clock;
  AuditTrail trail(clock, NodeId("n1"));
  for (int i = 0; i < 1500; ++i) {
    trail.Record({.action = std::to_string(i)});
  }
  cr_assert(trail.entries().size() == 1000);
  cr_assert(trail.entries().back().number == 1500);
  cr_assert(FindBrokenEntry(trail.entries()) == 0);
}
