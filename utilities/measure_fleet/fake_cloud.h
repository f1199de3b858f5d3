#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "day.h"
#include "fleet/offer.h"

namespace pistachiowalk::measure {

// An event of one VM, reported by the cloud.
struct CloudEvent {
  enum class Kind { kServing, kRefused, kNotice, kGone };
  Kind kind;
  VmId vm;
  // Whether a notice came before kGone.
  bool is_announced = false;
};

// A VM that the cloud has or is starting.
struct CloudVm {
  size_t place = 0;
  bool is_reclaimable = false;
  double base_price = 0.0;
  uint32_t slots = 0;
  int requested_s = 0;
  int serving_s = 0;
  int leaves_s = 0;
  bool is_serving = false;
  bool is_leaving = false;
};

// Time between a reclaim notice and the end of the VM.
inline constexpr int kNoticeSeconds = 30;

// Simulates the cloud for a day, for one service under one policy.
class FakeCloud {
 public:
  FakeCloud(const Day& day, uint64_t seed) : m_day(day), m_generator(seed) {}

  void Start(const VmId& id, size_t place, const VmClass& vm_class, int now_s);
  void Stop(const VmId& id);
  // Advances one second: bills the VMs and returns the events.
  std::vector<CloudEvent> Step(int now_s);

  const std::map<VmId, CloudVm>& vms() const { return m_vms; }
  double cost() const { return m_cost; }
  // Starts requested at a place and class within a minute of a refusal there.
  uint64_t refused_starts_retried() const { return m_retried; }

 private:
  bool DrawChance(double chance);
  int DrawStartTime();
  void StepVm(const VmId& id,
              CloudVm& vm,
              int now_s,
              std::vector<CloudEvent>& events);
  void StepReclaimWaves(int now_s, std::vector<CloudEvent>& events);

  const Day& m_day;
  std::mt19937_64 m_generator;
  std::map<VmId, CloudVm> m_vms;
  std::vector<VmId> m_refused;
  std::map<std::pair<size_t, bool>, int> m_last_refusal_s;
  double m_cost = 0.0;
  uint64_t m_retried = 0;
};

}  // namespace pistachiowalk::measure
