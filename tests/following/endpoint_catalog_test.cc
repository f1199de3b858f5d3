#include "following/endpoint_catalog.h"

#include <random>
#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(100));

EndpointEntry MakeEntry(const std::string& id,
                        EndpointState state = EndpointState::kLive,
                        uint64_t incarnation = 1) {
  return EndpointEntry{.id = EndpointId(id),
                       .service = ServiceName("chat"),
                       .address = {.ip = "10.0.0.1", .port = 80},
                       .state = state,
                       .incarnation = incarnation};
}

bool Contains(const EndpointCatalog& catalog, const std::string& id) {
  return catalog.entries().contains(EndpointId(id));
}

}  // namespace

Test(endpoint_catalog, a_removed_entry_is_gone_at_once) {
  EndpointCatalog catalog;
  catalog.Apply(MakeEntry("a"), kNow);
  catalog.Remove(EndpointId("a"), kNow);
  cr_assert(!Contains(catalog, "a"));
}

Test(endpoint_catalog, leaving_is_final_for_an_incarnation) {
  EndpointCatalog catalog;
  catalog.Apply(MakeEntry("a"), kNow);
  catalog.Apply(MakeEntry("a", EndpointState::kLeaving), kNow);
  catalog.Apply(MakeEntry("a"), kNow);
  cr_assert(catalog.entries().at(EndpointId("a")).state ==
            EndpointState::kLeaving);
  catalog.Apply(MakeEntry("a", EndpointState::kLive, 2), kNow);
  cr_assert(catalog.entries().at(EndpointId("a")).state ==
            EndpointState::kLive);
}

Test(endpoint_catalog, entries_that_lapse_in_an_outage_stay_in_use) {
  EndpointCatalog catalog;
  catalog.Apply(MakeEntry("a"), kNow);
  catalog.Apply(MakeEntry("b"), kNow);
  catalog.NoteStoreLost(kNow);
  catalog.NoteStoreBack(kNow + seconds(5));
  catalog.Remove(EndpointId("a"), kNow + seconds(5));
  catalog.Remove(EndpointId("b"), kNow + seconds(5));
  cr_assert(Contains(catalog, "a"));
  cr_assert(catalog.missing() == 2);
  // Only one of them registers again.
  catalog.Apply(MakeEntry("a"), kNow + milliseconds(6000));
  catalog.Step(kNow + milliseconds(7100));
  cr_assert(Contains(catalog, "a"));
  cr_assert(!Contains(catalog, "b"));
}

Test(endpoint_catalog, a_leaving_endpoint_gets_no_grace_period) {
  EndpointCatalog catalog;
  catalog.Apply(MakeEntry("a", EndpointState::kLeaving), kNow);
  catalog.NoteStoreLost(kNow);
  catalog.Remove(EndpointId("a"), kNow);
  cr_assert(!Contains(catalog, "a"));
}

Test(endpoint_catalog,
     entries_missing_from_a_snapshot_expire_after_the_grace_period) {
  EndpointCatalog catalog;
  catalog.Replace({MakeEntry("a"), MakeEntry("b")}, kNow);
  catalog.NoteStoreLost(kNow);
  catalog.NoteStoreBack(kNow + seconds(1));
  catalog.Replace({MakeEntry("b")}, kNow + seconds(1));
  cr_assert(Contains(catalog, "a"));
  catalog.Step(kNow + milliseconds(3100));
  cr_assert(!Contains(catalog, "a"));
  cr_assert(Contains(catalog, "b"));
}

// Random changes and outages: two seconds after the store's recovery the
// catalog contains exactly the entries in the store.
Test(endpoint_catalog, catalog_equals_the_store_after_each_outage) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    EndpointCatalog catalog;
    std::map<EndpointId, EndpointEntry> store;
    TimePoint now = kNow;
    for (int round = 0; round < 10; ++round) {
      if (random() % 3 == 0) {
        catalog.NoteStoreLost(now);
        now += milliseconds(random() % 6000);
        catalog.NoteStoreBack(now);
      }
      for (int change = 0; change < 5; ++change) {
        const std::string id = "e" + std::to_string(random() % 6);
        if (random() % 2 == 0) {
          const EndpointEntry entry = MakeEntry(id);
          store[entry.id] = entry;
          catalog.Apply(entry, now);
        } else {
          store.erase(EndpointId(id));
          catalog.Remove(EndpointId(id), now);
        }
        now += milliseconds(random() % 300);
        catalog.Step(now);
      }
      now += milliseconds(2100);
      catalog.Step(now);
      cr_assert(catalog.entries() == store, "seed %lu", seed);
    }
  }
}

namespace {

EndpointEntry AtSequence(EndpointEntry entry, uint64_t sequence) {
  entry.sequence = sequence;
  return entry;
}

}  // namespace

Test(endpoint_catalog, an_endpoint_that_left_stays_out_of_a_restored_store) {
  EndpointCatalog catalog;
  const EndpointEntry live = AtSequence(MakeEntry("a"), 4);
  catalog.Replace({live, MakeEntry("b")}, kNow);
  catalog.Apply(AtSequence(MakeEntry("a", EndpointState::kLeaving), 5), kNow);
  catalog.Remove(EndpointId("a"), kNow + seconds(1));
  const TimePoint restored = kNow + seconds(5);
  catalog.NoteStoreRestored(restored);
  catalog.Replace({live, MakeEntry("b")}, restored);
  for (int second = 0; second < 20; ++second) {
    catalog.Step(restored + seconds(second));
    cr_assert(!Contains(catalog, "a") && Contains(catalog, "b"));
  }
  catalog.Remove(EndpointId("a"), restored + seconds(20));
  // A new start under the same id.
  catalog.Apply(MakeEntry("a", EndpointState::kLive, 2),
                restored + seconds(21));
  cr_assert(Contains(catalog, "a"));
}

Test(endpoint_catalog, an_endpoint_that_ended_stays_out_until_it_reports) {
  EndpointCatalog catalog;
  const EndpointEntry live = AtSequence(MakeEntry("a"), 4);
  catalog.Apply(live, kNow);
  catalog.Remove(EndpointId("a"), kNow + seconds(1));
  const TimePoint restored = kNow + seconds(5);
  catalog.NoteStoreRestored(restored);
  catalog.Replace({live}, restored);
  cr_assert(!Contains(catalog, "a"));
  catalog.Apply(AtSequence(live, 9), restored + seconds(1));
  cr_assert(Contains(catalog, "a"));
}

// The endpoint's entry changes only when more than its sequence does.
Test(endpoint_catalog, an_entry_that_does_not_expire_is_used_in_the_end) {
  EndpointCatalog catalog;
  const EndpointEntry live = AtSequence(MakeEntry("a"), 4);
  catalog.Apply(live, kNow);
  catalog.Remove(EndpointId("a"), kNow + seconds(1));
  const TimePoint restored = kNow + seconds(5);
  catalog.NoteStoreRestored(restored);
  catalog.Replace({live}, restored);
  catalog.Step(restored + seconds(9));
  cr_assert(!Contains(catalog, "a"));
  catalog.Step(restored + seconds(11));
  cr_assert(Contains(catalog, "a"));
}

Test(endpoint_catalog, entries_that_a_restore_lost_get_time_to_return) {
  EndpointCatalog catalog;
  catalog.Replace({MakeEntry("a"), MakeEntry("b")}, kNow);
  catalog.NoteStoreRestored(kNow);
  catalog.Replace({MakeEntry("b")}, kNow);
  catalog.Step(kNow + milliseconds(1900));
  cr_assert(Contains(catalog, "a"));
  catalog.Step(kNow + milliseconds(2100));
  cr_assert(!Contains(catalog, "a"));
}

Test(endpoint_catalog, a_restored_store_without_entries_ends_a_service) {
  EndpointCatalog catalog;
  EndpointEntry other = MakeEntry("o");
  other.service = ServiceName("other");
  catalog.Replace({MakeEntry("a"), MakeEntry("b"), other}, kNow);
  catalog.NoteStoreRestored(kNow);
  catalog.Replace({other}, kNow);
  catalog.Step(kNow + seconds(30));
  cr_assert(Contains(catalog, "a") && Contains(catalog, "b"));
  // Once one registers, what the store lists is complete.
  catalog.Apply(MakeEntry("b"), kNow + seconds(31));
  catalog.Step(kNow + seconds(31));
  cr_assert(!Contains(catalog, "a"));
  cr_assert(Contains(catalog, "b"));
}

Test(endpoint_catalog, a_retained_endpoint_outlives_its_removal) {
  EndpointCatalog catalog;
  catalog.Replace({MakeEntry("a")}, kNow);
  catalog.NoteStoreRestored(kNow);
  catalog.Replace({}, kNow);
  catalog.Step(kNow + seconds(5));
  // It registers again, leaves, and its entry is removed.
  catalog.Apply(MakeEntry("a"), kNow + seconds(6));
  catalog.Apply(MakeEntry("a", EndpointState::kLeaving), kNow + seconds(7));
  catalog.Remove(EndpointId("a"), kNow + seconds(8));
  cr_assert(!Contains(catalog, "a"));
}
