#include "fake_cloud.h"

#include <algorithm>
#include <limits>

namespace pistachiowalk::measure {
namespace {

constexpr double kRefusalChanceInInterval = 0.9;
constexpr double kRefusalChance = 0.02;
constexpr double kOnDemandRefusalChanceInInterval = 0.1;
constexpr double kOnDemandRefusalChance = 0.01;
constexpr double kSlowStartChance = 0.05;
constexpr int kSlowStartFactor = 8;
constexpr int kFastestStartSeconds = 60;
constexpr int kSlowestStartSeconds = 140;
constexpr double kReclaimChancePerSecond = 1.0 / (20.0 * 3600.0);
constexpr double kFailureChancePerSecond = 0.01 / kSecondsPerDay;
constexpr int kRetrySeconds = 60;
constexpr double kSecondsPerHour = 3600.0;

}  // namespace

bool FakeCloud::DrawChance(double chance) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_generator) < chance;
}

int FakeCloud::DrawStartTime() {
  const int normal = std::uniform_int_distribution<int>(
      kFastestStartSeconds, kSlowestStartSeconds)(m_generator);
  return DrawChance(kSlowStartChance) ? normal * kSlowStartFactor : normal;
}

void FakeCloud::Start(const VmId& id,
                      size_t place,
                      const VmClass& vm_class,
                      int now_s) {
  const auto kind = std::make_pair(place, vm_class.is_reclaimable);
  const auto last = m_last_refusal_s.find(kind);
  if (last != m_last_refusal_s.end() && last->second < now_s &&
      now_s - last->second <= kRetrySeconds) {
    ++m_retried;
  }
  const bool is_refusing = m_day.IsRefusing(place, now_s);
  const double chance =
      vm_class.is_reclaimable
          ? (is_refusing ? kRefusalChanceInInterval : kRefusalChance)
          : (is_refusing ? kOnDemandRefusalChanceInInterval
                         : kOnDemandRefusalChance);
  if (DrawChance(chance)) {
    m_last_refusal_s[kind] = now_s;
    m_refused.push_back(id);
    return;
  }
  CloudVm vm;
  vm.place = place;
  vm.is_reclaimable = vm_class.is_reclaimable;
  vm.base_price = vm_class.price_per_hour;
  vm.slots = vm_class.slots;
  vm.requested_s = now_s;
  vm.serving_s = now_s + DrawStartTime();
  vm.leaves_s = std::numeric_limits<int>::max();
  if (vm.is_reclaimable && m_day.IsReclaimingAtStart(place, now_s)) {
    vm.leaves_s = vm.serving_s + 60;
  }
  m_vms.emplace(id, vm);
}

void FakeCloud::Stop(const VmId& id) {
  m_vms.erase(id);
}

void FakeCloud::StepVm(const VmId& id,
                       CloudVm& vm,
                       int now_s,
                       std::vector<CloudEvent>& events) {
  const double factor =
      vm.is_reclaimable ? m_day.PriceFactor(vm.place, now_s) : 1.0;
  m_cost += vm.base_price * factor / kSecondsPerHour;
  if (!vm.is_serving && now_s >= vm.serving_s) {
    vm.is_serving = true;
    events.push_back({CloudEvent::Kind::kServing, id});
  }
  if (vm.is_reclaimable && DrawChance(kReclaimChancePerSecond)) {
    vm.leaves_s = std::min(vm.leaves_s, now_s + kNoticeSeconds);
  }
  if (!vm.is_leaving && now_s >= vm.leaves_s - kNoticeSeconds) {
    vm.is_leaving = true;
    events.push_back({CloudEvent::Kind::kNotice, id});
  }
  if (now_s >= vm.leaves_s) {
    events.push_back({CloudEvent::Kind::kGone, id, true});
  } else if (DrawChance(kFailureChancePerSecond)) {
    events.push_back({CloudEvent::Kind::kGone, id, vm.is_leaving});
  }
}

void FakeCloud::StepReclaimWaves(int now_s, std::vector<CloudEvent>& events) {
  for (const ReclaimWave& wave : m_day.waves) {
    if (wave.at_s != now_s) {
      continue;
    }
    for (auto& [id, vm] : m_vms) {
      if (vm.place != wave.place) {
        continue;
      }
      if (wave.is_whole_data_center) {
        events.push_back({CloudEvent::Kind::kGone, id, vm.is_leaving});
      } else if (vm.is_reclaimable) {
        vm.leaves_s = std::min(vm.leaves_s, now_s + kNoticeSeconds);
      }
    }
  }
}

std::vector<CloudEvent> FakeCloud::Step(int now_s) {
  std::vector<CloudEvent> events;
  for (const VmId& id : m_refused) {
    events.push_back({CloudEvent::Kind::kRefused, id});
  }
  m_refused.clear();
  StepReclaimWaves(now_s, events);
  for (auto& [id, vm] : m_vms) {
    StepVm(id, vm, now_s, events);
  }
  for (const CloudEvent& event : events) {
    if (event.kind == CloudEvent::Kind::kGone) {
      m_vms.erase(event.vm);
    }
  }
  return events;
}

}  // namespace pistachiowalk::measure
