#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bundle/signed_bundle.h"
#include "support/child_process.h"

namespace pistachiowalk::testing {

// A process of the deployment.
struct DeploymentProcess {
  std::string name;
  std::string place;
  // The service of an endpoint, "" for other processes.
  std::string service;
  std::unique_ptr<ChildProcess> process;
  // False once the process has been told to leave or stop, or was reclaimed.
  bool is_in_use = true;
  TimePoint started_at{};
  // When its VM was reclaimed.
  std::optional<TimePoint> removed_at;
};

// Number of entry processes in each of the three places.
using EntriesByPlace = std::array<size_t, 3>;

// Runs the real programs of the association's deployment on loopback: one
// platform, reached from each of three places through a gate of its own, entry
// processes, twenty model endpoints and three plain services.
class LoopbackDeployment {
 public:
  explicit LoopbackDeployment(const EntriesByPlace& entries_by_place);

  const std::vector<std::string>& places() const { return m_places; }
  ChildProcess& platform() { return *m_platform; }
  ChildProcess& GateOf(const std::string& place) { return *m_gates.at(place); }
  std::vector<DeploymentProcess>& entries() { return m_entries; }
  std::vector<DeploymentProcess>& endpoints() { return m_endpoints; }

  DeploymentProcess& StartEntry(const std::string& place);
  // Starts an endpoint and adds it to the VM list.
  DeploymentProcess& StartEndpoint(const std::string& place,
                                   const std::string& service);
  // Marks an endpoint's VM as leaving, on the VM list and at the endpoint.
  void AnnounceLeaving(DeploymentProcess& endpoint);
  // Removes an endpoint's VM from the VM list and stops its process.
  void ReclaimVm(DeploymentProcess& endpoint);
  // Cost of the model endpoints until `now`, divided by the cost of running the
  // initial number of them on on-demand VMs.
  double CostRatioToOnDemand(TimePoint now) const;
  // Returns the deployment's signed bundle with `version`. Different notes give
  // different texts.
  SignedBundle MakeBundle(BundleVersion version, const std::string& note) const;

 private:
  void AddToVmList(const DeploymentProcess& endpoint);

  std::vector<std::string> m_places = {"san-jose-a", "liberia-a", "limon-a"};
  SigningKeyPair m_keys = GenerateSigningKeyPair();
  std::string m_cluster_secret;
  std::string m_seeds;
  uint64_t m_last_number = 0;
  std::unique_ptr<ChildProcess> m_platform;
  TimePoint m_started_at;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_gates;
  std::vector<DeploymentProcess> m_entries;
  std::vector<DeploymentProcess> m_endpoints;
};

inline constexpr const char* kModelService = "fitting-guidance";
inline constexpr const char* kPlainService = "loans";
inline constexpr const char* kCustomerKey = "cartago-key";

}  // namespace pistachiowalk::testing
