#include "together/fault_plan.h"

#include <algorithm>
#include <csignal>
#include <memory>

#include "bundle/bundle_roll.h"
#include "store/http_store.h"
#include "support/raw_http.h"

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReclaimNotice = milliseconds(5000);
constexpr Duration kStoreOutage = milliseconds(6000);
constexpr Duration kPlaceCutOff = milliseconds(4000);
constexpr Duration kEntryPause = milliseconds(3000);
constexpr Duration kReplacementDelay = milliseconds(1500);

}  // namespace

std::string FaultPairName(FaultPair pair) {
  switch (pair) {
    case FaultPair::kReclaimWaveDuringStoreOutage:
      return "reclaim wave during a store outage";
    case FaultPair::kConcurrentRollOutsWhilePlaceIsCutOff:
      return "concurrent bundle roll-outs while a place is cut off";
    case FaultPair::kEntryKilledDuringHandover:
      return "entry killed during handover";
    case FaultPair::kLostResponsesWhileEntryIsPaused:
      return "lost store responses while an entry is paused";
    case FaultPair::kUnresponsiveEngineDuringPlannedStop:
      return "unresponsive engine during a planned stop";
  }
  return "";
}

FaultPlan::FaultPlan(EventLoop& loop,
                     HttpClient& client,
                     LoopbackDeployment& deployment,
                     DeploymentMonitor& monitor,
                     uint64_t seed)
    : m_loop(loop),
      m_client(client),
      m_deployment(deployment),
      m_monitor(monitor),
      m_random(seed) {}

void FaultPlan::Start(size_t count, Duration interval) {
  std::vector<FaultPair> pairs = {
      FaultPair::kReclaimWaveDuringStoreOutage,
      FaultPair::kConcurrentRollOutsWhilePlaceIsCutOff,
      FaultPair::kEntryKilledDuringHandover,
      FaultPair::kLostResponsesWhileEntryIsPaused,
      FaultPair::kUnresponsiveEngineDuringPlannedStop};
  std::shuffle(pairs.begin(), pairs.end(), m_random);
  pairs.resize(std::min(count, pairs.size()));
  Duration at = interval;
  for (const FaultPair pair : pairs) {
    ScheduleAfter(at, [this, pair] { Inject(pair); });
    at += interval;
  }
}

void FaultPlan::ScheduleAfter(Duration delay, EventLoop::Task task) {
  m_loop.Schedule(delay, std::move(task));
}

void FaultPlan::Inject(FaultPair pair) {
  std::fprintf(stderr, "fault: %s\n", FaultPairName(pair).c_str());
  switch (pair) {
    case FaultPair::kReclaimWaveDuringStoreOutage:
      return ReclaimDuringStoreOutage();
    case FaultPair::kConcurrentRollOutsWhilePlaceIsCutOff:
      return RollOutConcurrentBundles();
    case FaultPair::kEntryKilledDuringHandover:
      return KillEntryDuringHandover();
    case FaultPair::kLostResponsesWhileEntryIsPaused:
      return PauseEntryAndLoseResponses();
    case FaultPair::kUnresponsiveEngineDuringPlannedStop:
      return PauseEngineAndStopEntry();
  }
}

const std::string& FaultPlan::RandomPlace() {
  return m_deployment.places()[m_random() % m_deployment.places().size()];
}

DeploymentProcess& FaultPlan::RandomEntry() {
  std::vector<DeploymentProcess*> candidates;
  for (DeploymentProcess& entry : m_deployment.entries()) {
    if (entry.is_in_use) {
      candidates.push_back(&entry);
    }
  }
  return *candidates[m_random() % candidates.size()];
}

void FaultPlan::SetStoreFaults(const std::string& query) {
  Call(m_deployment.platform().port(), "POST", "/stand-in/store" + query);
}

void FaultPlan::ScheduleReplacement(DeploymentProcess& entry) {
  ScheduleAfter(kReplacementDelay, [this, place = entry.place] {
    m_deployment.StartEntry(place);
  });
}

void FaultPlan::ReclaimDuringStoreOutage() {
  const std::string place = RandomPlace();
  SetStoreFaults("?down=true");
  ScheduleAfter(kStoreOutage, [this] { SetStoreFaults(""); });
  for (size_t i = 0; i < m_deployment.endpoints().size(); ++i) {
    DeploymentProcess& endpoint = m_deployment.endpoints()[i];
    if (endpoint.place != place || !endpoint.is_in_use ||
        endpoint.service != kModelService) {
      continue;
    }
    m_deployment.AnnounceLeaving(endpoint);
    ScheduleAfter(kReclaimNotice, [this, i] {
      m_deployment.ReclaimVm(m_deployment.endpoints()[i]);
    });
    ScheduleAfter(kReclaimNotice + kReplacementDelay, [this, place] {
      m_deployment.StartEndpoint(place, kModelService);
    });
  }
}

void FaultPlan::RollOutConcurrentBundles() {
  const std::string place = RandomPlace();
  m_monitor.SetExcluded(place, true);
  m_deployment.GateOf(place).Signal(SIGSTOP);
  ScheduleAfter(kPlaceCutOff, [this, place] {
    m_deployment.GateOf(place).Signal(SIGCONT);
    m_monitor.SetExcluded(place, false);
  });
  const BundleVersion version = ++m_last_version;
  auto store =
      std::make_shared<HttpStore>(m_client, m_deployment.platform().Url());
  for (const char* note : {"first operator", "second operator"}) {
    RollBundle(*store, version, m_deployment.MakeBundle(version, note),
               [this, store, version](const RollOutcome& outcome) {
                 if (outcome.status == RollStatus::kAccepted) {
                   m_monitor.OnBundleAccepted(version);
                 }
               });
  }
}

void FaultPlan::KillEntryDuringHandover() {
  DeploymentProcess& entry = RandomEntry();
  entry.is_in_use = false;
  entry.process->Signal(SIGTERM);
  const ChildProcess* process = entry.process.get();
  ScheduleAfter(milliseconds(20 + m_random() % 300),
                [process] { process->Signal(SIGKILL); });
  ScheduleReplacement(entry);
}

void FaultPlan::PauseEntryAndLoseResponses() {
  const ChildProcess* process = RandomEntry().process.get();
  SetStoreFaults("?lose_answers=5");
  process->Signal(SIGSTOP);
  ScheduleAfter(kEntryPause, [process] { process->Signal(SIGCONT); });
}

void FaultPlan::PauseEngineAndStopEntry() {
  std::vector<DeploymentProcess*> engines;
  for (DeploymentProcess& endpoint : m_deployment.endpoints()) {
    if (endpoint.is_in_use && endpoint.service == kModelService) {
      engines.push_back(&endpoint);
    }
  }
  const ChildProcess* engine =
      engines[m_random() % engines.size()]->process.get();
  engine->Signal(SIGSTOP);
  DeploymentProcess& entry = RandomEntry();
  entry.is_in_use = false;
  entry.process->Signal(SIGTERM);
  m_planned_stops.push_back(&entry);
  ScheduleReplacement(entry);
}

uint64_t FaultPlan::CountFailedPlannedStops() {
  uint64_t count = 0;
  for (DeploymentProcess* entry : m_planned_stops) {
    count += entry->process->Wait() != 0 ? 1 : 0;
  }
  return count;
}

}  // namespace pistachiowalk::testing
