#include "together/loopback_deployment.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include "support/raw_http.h"

namespace pistachiowalk::testing {
namespace {

constexpr size_t kEnginesByPlace[] = {7, 7, 6};
// Same prices as in samples/rebozo.ini.
constexpr double kReclaimablePricePerHour = 0.8;
constexpr double kOnDemandPricePerHour = 2.4;

}  // namespace

LoopbackDeployment::LoopbackDeployment(const EntriesByPlace& entries_by_place)
    : m_cluster_secret(m_keys.public_key_hex),
      m_platform(std::make_unique<ChildProcess>("stand_ins/stand_in_platform",
                                                std::vector<std::string>{})),
      m_started_at(std::chrono::steady_clock::now()) {
  m_entries.reserve(64);
  m_endpoints.reserve(128);
  for (const std::string& place : m_places) {
    m_gates[place] = std::make_unique<ChildProcess>(
        "stand_ins/stand_in_gate",
        std::vector<std::string>{"--target", m_platform->Url()});
  }
  for (size_t i = 0; i < m_places.size(); ++i) {
    for (size_t k = 0; k < kEnginesByPlace[i]; ++k) {
      StartEndpoint(m_places[i], kModelService);
    }
    StartEndpoint(m_places[i], kPlainService);
  }
  for (size_t i = 0; i < m_places.size(); ++i) {
    for (size_t k = 0; k < entries_by_place[i]; ++k) {
      StartEntry(m_places[i]);
    }
  }
}

DeploymentProcess& LoopbackDeployment::StartEntry(const std::string& place) {
  const std::string name = "entry-" + std::to_string(++m_last_number);
  const std::string cluster_port = std::to_string(FreePort());
  const std::string platform = m_gates.at(place)->Url();
  std::vector<std::string> arguments;
  const std::vector<std::string> settings = {
      "node.name=" + name,
      "node.place=" + place,
      "node.data_center=" + place,
      "listen.port=0",
      "platform.store_url=" + platform,
      "platform.vm_list_url=" + platform,
      "platform.vm_list_interval_ms=500",
      "bundle.trusted_keys=ops:" + m_keys.public_key_hex,
      "cluster.port=" + cluster_port,
      "cluster.secret_keys=" + m_cluster_secret,
      "stop.drain_timeout_s=10",
      "log.level=error"};
  for (const std::string& setting : settings) {
    arguments.push_back("--set");
    arguments.push_back(setting);
  }
  if (!m_seeds.empty()) {
    arguments.push_back("--set");
    arguments.push_back("cluster.seeds=" + m_seeds);
  }
  m_seeds += (m_seeds.empty() ? "" : ",") + ("127.0.0.1:" + cluster_port);
  m_entries.push_back(DeploymentProcess{
      .name = name,
      .place = place,
      .service = "",
      .process = std::make_unique<ChildProcess>(
          "services/pistachiowalkd/pistachiowalkd", std::move(arguments))});
  return m_entries.back();
}

DeploymentProcess& LoopbackDeployment::StartEndpoint(
    const std::string& place,
    const std::string& service) {
  const bool is_model = service == kModelService;
  const std::string program =
      is_model ? "stand_ins/stand_in_engine" : "stand_ins/stand_in_service";
  m_endpoints.push_back(DeploymentProcess{
      .name =
          (is_model ? "engine-" : "service-") + std::to_string(++m_last_number),
      .place = place,
      .service = service,
      .process = std::make_unique<ChildProcess>(
          program, is_model ? std::vector<std::string>{"--token-us", "20000"}
                            : std::vector<std::string>{}),
      .started_at = std::chrono::steady_clock::now()});
  AddToVmList(m_endpoints.back());
  return m_endpoints.back();
}

void LoopbackDeployment::AddToVmList(const DeploymentProcess& endpoint) {
  Call(m_platform->port(), "POST", "/stand-in/vms", "",
       R"({"id":")" + endpoint.name + R"(","address":"127.0.0.1","port":)" +
           std::to_string(endpoint.process->port()) + R"(,"place":")" +
           endpoint.place + R"(","service":")" + endpoint.service +
           R"(","vm_class":"reclaimable","state":"live"})");
}

void LoopbackDeployment::AnnounceLeaving(DeploymentProcess& endpoint) {
  Call(m_platform->port(), "PUT", "/stand-in/vms?id=" + endpoint.name);
  if (endpoint.service == kModelService) {
    Call(endpoint.process->port(), "POST", "/stand-in/leaving");
  }
  endpoint.is_in_use = false;
}

void LoopbackDeployment::ReclaimVm(DeploymentProcess& endpoint) {
  Call(m_platform->port(), "DELETE", "/stand-in/vms?id=" + endpoint.name);
  // NOTE: The process is stopped rather than killed, so that its counters can
  // still be read at the end. Like a reclaimed VM, it does not respond.
  endpoint.process->Signal(SIGSTOP);
  endpoint.is_in_use = false;
  endpoint.removed_at = std::chrono::steady_clock::now();
}

double LoopbackDeployment::CostRatioToOnDemand(TimePoint now) const {
  using Hours = std::chrono::duration<double, std::ratio<3600>>;
  Hours paid_time{};
  size_t planned = 0;
  for (const size_t count : kEnginesByPlace) {
    planned += count;
  }
  for (const DeploymentProcess& endpoint : m_endpoints) {
    if (endpoint.service == kModelService) {
      paid_time += endpoint.removed_at.value_or(now) - endpoint.started_at;
    }
  }
  const Hours on_demand_time =
      static_cast<double>(planned) * Hours(now - m_started_at);
  return paid_time * kReclaimablePricePerHour /
         (on_demand_time * kOnDemandPricePerHour);
}

SignedBundle LoopbackDeployment::MakeBundle(BundleVersion version,
                                            const std::string& note) const {
  std::ifstream file(PISTACHIOWALK_SOURCE_DIR "/samples/rebozo.ini");
  std::ostringstream content;
  content << file.rdbuf();
  std::string text = content.str();
  const std::string first_version = "version = 1\n";
  text.replace(text.find(first_version), first_version.size(),
               "version = " + std::to_string(version) + "\n");
  // Raises the request limit, so that it does not refuse the load of these
  // runs.
  const std::string limit = "requests_per_second = 50\n";
  text.replace(text.find(limit), limit.size(), "requests_per_second = 5000\n");
  text += "; " + note + "\n";
  return SignBundle({text, {}}, SigningKeyId("ops"), m_keys.secret_key_hex)
      .value();
}

}  // namespace pistachiowalk::testing
