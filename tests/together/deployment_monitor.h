#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/loopback_deployment.h"

namespace pistachiowalk::testing {

// Polls every entry process for its bundle version and its readiness. Balances
// the load over ready entry processes and counts bundle reverts.
class DeploymentMonitor {
 public:
  DeploymentMonitor(EventLoop& loop,
                    HttpClient& client,
                    LoopbackDeployment& deployment);

  void Start() { Poll(); }
  // URL of the next ready entry process, round robin. The last entry process is
  // used when none is ready.
  std::string NextUrl();
  // Starts measuring the time until `version` is in force everywhere.
  void OnBundleAccepted(BundleVersion version);
  // Excludes a place from that measurement, for example while it is cut off.
  void SetExcluded(const std::string& place, bool is_excluded);
  uint64_t reverts() const { return m_reverts; }
  // Longest time from acceptance until a bundle was in force at every ready
  // entry process.
  Duration LongestRolloutTime() const { return m_longest_rollout_time; }
  bool IsWaitingForBundle() const { return m_awaited_version != 0; }
  BundleVersion awaited_version() const { return m_awaited_version; }

 private:
  struct EntryStatus {
    BundleVersion version = 0;
    bool is_ready = false;
  };

  void Poll();
  void OnAnswer(const std::string& name, const std::string& body);
  void CheckAwaitedBundle();

  EventLoop& m_loop;
  HttpClient& m_client;
  LoopbackDeployment& m_deployment;
  std::map<std::string, EntryStatus> m_statuses;
  std::map<std::string, bool> m_excluded_places;
  uint64_t m_next = 0;
  uint64_t m_reverts = 0;
  BundleVersion m_awaited_version = 0;
  TimePoint m_accepted_at;
  Duration m_longest_rollout_time{};
};

}  // namespace pistachiowalk::testing
