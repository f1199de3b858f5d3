#include "fleet/fleet_controller_core.h"

#include <algorithm>
#include <random>

#include "support/criterion.h"

namespace pistachiowalk {
namespace {

using std::chrono::seconds;

class RecordingAudit final : public AuditSink {
 public:
  void Record(const AuditRecord& record) override {
    m_records.push_back(record);
  }
  bool Has(std::string_view action) const {
    return std::any_of(
        m_records.begin(), m_records.end(),
        [action](const AuditRecord& r) { return r.action == action; });
  }

 private:
  std::vector<AuditRecord> m_records;
};

std::vector<Offer> OffersAtThreePlaces() {
  std::vector<Offer> offers;
  for (const char* name : {"san-jose-a", "liberia-a", "limon-a"}) {
    for (const bool is_reclaimable : {true, false}) {
      offers.push_back(
          Offer{.place = PlaceName(name),
                .data_center = DataCenterName(name),
                .region = RegionName(name),
                .vm_class = VmClassName(is_reclaimable ? "spot" : "standard"),
                .is_reclaimable = is_reclaimable,
                .price_per_hour = is_reclaimable ? 0.8 : 2.4,
                .slots = 16});
    }
  }
  return offers;
}

// A controller and a simulated cloud. Started VMs serve when the test reports
// it.
struct Fixture {
  RecordingAudit audit;
  FleetControllerCore core;
  TimePoint now{seconds(1000)};
  std::vector<StartVm> starts;
  std::vector<VmId> drains;
  std::vector<VmId> stops;

  explicit Fixture() : core("test", Need(), audit) {
    core.SetOffers(OffersAtThreePlaces());
  }
  static ServiceNeed Need() {
    ServiceNeed need;
    need.service = ServiceName("guidance");
    need.is_protected = true;
    need.queue_slack = seconds(40);
    return need;
  }
  void Step(double demand) {
    now += seconds(10);
    core.NoteDemand(RegionName("liberia-a"), demand, now);
    starts.clear();
    for (const FleetCommand& command : core.Step(now)) {
      if (const auto* start = std::get_if<StartVm>(&command)) {
        starts.push_back(*start);
      } else if (const auto* drain = std::get_if<DrainVm>(&command)) {
        drains.push_back(drain->id);
      } else if (const auto* stop = std::get_if<StopVm>(&command)) {
        stops.push_back(stop->id);
      }
    }
  }
  void ServeStarts() {
    for (const StartVm& start : starts) {
      core.NoteVmServing(start.id, now);
    }
  }
  size_t Serving() const {
    return static_cast<size_t>(std::count_if(
        core.vms().begin(), core.vms().end(), [](const auto& entry) {
          return entry.second.state == FleetVmState::kServing;
        }));
  }
};

}  // namespace

Test(fleet_controller, replaces_reclaimed_vms_on_notice) {
  Fixture fixture;
  fixture.Step(100);
  fixture.ServeStarts();
  const size_t before = fixture.Serving();
  std::vector<VmId> lost;
  for (const auto& [id, vm] : fixture.core.vms()) {
    if (vm.place.value() == "limon-a") {
      lost.push_back(id);
    }
  }
  for (const VmId& id : lost) {
    fixture.core.NoteReclaimNotice(id, fixture.now);
  }
  fixture.Step(100);
  cr_assert(!lost.empty());
  cr_assert(fixture.starts.size() >= lost.size());
  cr_assert(fixture.Serving() + lost.size() == before);
  cr_assert(fixture.audit.Has("reclaim_notice"));
}

Test(fleet_controller, a_place_that_refuses_starts_is_avoided) {
  Fixture fixture;
  fixture.Step(100);
  size_t starts_in_refusing_place = 0;
  for (int step = 0; step < 120; ++step) {
    for (const StartVm& start : fixture.starts) {
      const bool is_refused = start.place.value() == "limon-a";
      starts_in_refusing_place += is_refused ? 1 : 0;
      if (is_refused) {
        fixture.core.NoteStartRefused(start.id, fixture.now);
      } else {
        fixture.core.NoteVmServing(start.id, fixture.now);
      }
    }
    fixture.Step(100);
  }
  // In 20 minutes each class gets one batch of starts, then probes at growing
  // intervals.
  cr_assert(starts_in_refusing_place < 40, "%zu", starts_in_refusing_place);
  cr_assert(fixture.core.plan().shortfall_slots <= 0.0);
}

Test(fleet_controller, an_overdue_start_is_replaced_elsewhere) {
  Fixture fixture;
  fixture.Step(100);
  const size_t first_starts = fixture.starts.size();
  size_t later_starts = 0;
  for (int step = 0; step < 60; ++step) {
    fixture.Step(100);
    later_starts += fixture.starts.size();
    fixture.ServeStarts();
  }
  cr_assert(later_starts >= first_starts, "%zu of %zu", later_starts,
            first_starts);
  cr_assert(fixture.audit.Has("start_overdue"));
}

Test(fleet_controller, scale_in_drains_vms_before_stopping_them) {
  Fixture fixture;
  fixture.Step(200);
  fixture.ServeStarts();
  for (const auto& [id, vm] : fixture.core.vms()) {
    fixture.core.NoteInFlight(id, 2);
  }
  for (int step = 0; step < 100; ++step) {
    fixture.Step(40);
  }
  cr_assert(!fixture.drains.empty());
  const std::vector<VmId> drains = fixture.drains;
  for (const VmId& stopped : fixture.stops) {
    cr_assert(std::find(drains.begin(), drains.end(), stopped) != drains.end());
  }
  for (const auto& [id, vm] : fixture.core.vms()) {
    fixture.core.NoteInFlight(id, 0);
  }
  fixture.Step(40);
  cr_assert(fixture.stops.size() == fixture.drains.size());
}

Test(fleet_controller, steady_demand_with_noise_does_not_flap) {
  Fixture fixture;
  std::mt19937_64 generator(7);
  std::normal_distribution<double> noise(100.0, 5.0);
  for (int step = 0; step < 200; ++step) {
    fixture.Step(noise(generator));
    fixture.ServeStarts();
  }
  const size_t drains_before = fixture.drains.size();
  size_t starts = 0;
  for (int step = 0; step < 720; ++step) {
    fixture.Step(noise(generator));
    fixture.ServeStarts();
    starts += fixture.starts.size();
  }
  cr_assert(fixture.drains.size() - drains_before <= 6, "%zu drains",
            fixture.drains.size() - drains_before);
  cr_assert(starts <= 6, "%zu starts", starts);
}

Test(start_history, back_off_grows_and_allows_a_single_probe) {
  StartHistory history;
  const PlaceName place("a");
  const VmClassName vm_class("spot");
  TimePoint now{seconds(1)};
  Duration last{};
  for (int failure = 0; failure < 8; ++failure) {
    history.NoteOutcome(place, vm_class, StartOutcome::kRefused, Duration{},
                        now);
    cr_assert(history.AllowedPendingStarts(place, vm_class, now) == 0);
    const Duration wait = history.RecordOf(place, vm_class).retry_at - now;
    cr_assert(wait >= last);
    last = wait;
    now += wait;
    cr_assert(history.AllowedPendingStarts(place, vm_class, now) == 1);
  }
  history.NoteOutcome(place, vm_class, StartOutcome::kServing, seconds(60),
                      now);
  cr_assert(history.AllowedPendingStarts(place, vm_class, now) > 1000);
}

}  // namespace pistachiowalk
