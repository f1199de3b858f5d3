#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/deployment_monitor.h"
#include "together/loopback_deployment.h"

namespace pistachiowalk::testing {

// Pairs of faults that overlap in time.
enum class FaultPair {
  kReclaimWaveDuringStoreOutage,
  kConcurrentRollOutsWhilePlaceIsCutOff,
  kEntryKilledDuringHandover,
  kLostResponsesWhileEntryIsPaused,
  kUnresponsiveEngineDuringPlannedStop,
};

std::string FaultPairName(FaultPair pair);

// Injects pairs of faults, chosen at random from a seed, into a deployment.
class FaultPlan {
 public:
  FaultPlan(EventLoop& loop,
            HttpClient& client,
            LoopbackDeployment& deployment,
            DeploymentMonitor& monitor,
            uint64_t seed);

  // Schedules `count` pairs, one every `interval`.
  void Start(size_t count, Duration interval);
  // Waits for the entry processes of planned stops and returns the number of
  // those that did not exit with 0.
  uint64_t CountFailedPlannedStops();

 private:
  void Inject(FaultPair pair);
  void ReclaimDuringStoreOutage();
  void RollOutConcurrentBundles();
  void KillEntryDuringHandover();
  void PauseEntryAndLoseResponses();
  void PauseEngineAndStopEntry();
  void ScheduleAfter(Duration delay, EventLoop::Task task);
  void ScheduleReplacement(DeploymentProcess& entry);
  DeploymentProcess& RandomEntry();
  const std::string& RandomPlace();
  void SetStoreFaults(const std::string& query);

  EventLoop& m_loop;
  HttpClient& m_client;
  LoopbackDeployment& m_deployment;
  DeploymentMonitor& m_monitor;
  std::mt19937_64 m_random;
  BundleVersion m_last_version = 1;
  std::vector<DeploymentProcess*> m_planned_stops;
};

}  // namespace pistachiowalk::testing
