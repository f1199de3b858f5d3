#include "together/deployment_monitor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>

namespace pistachiowalk::testing {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kPollTimeout{400};

}  // namespace

DeploymentMonitor::DeploymentMonitor(EventLoop& loop,
                                     HttpClient& client,
                                     LoopbackDeployment& deployment)
    : m_loop(loop), m_client(client), m_deployment(deployment) {}

void DeploymentMonitor::Poll() {
  for (const DeploymentProcess& entry : m_deployment.entries()) {
    if (!entry.is_in_use) {
      m_statuses[entry.name].is_ready = false;
      continue;
    }
    HttpCallOptions options;
    options.url = entry.process->Url() + "/v1/status";
    options.total_timeout = kPollTimeout;
    auto body = std::make_shared<std::string>();
    HttpCallHandlers handlers;
    handlers.on_data = [body](std::string_view data) { body->append(data); };
    handlers.on_done = [this, body, name = entry.name](const auto&) {
      OnAnswer(name, *body);
    };
    m_client.Start(std::move(options), std::move(handlers));
  }
  m_loop.Schedule(kPollInterval, [this] { Poll(); });
}

void DeploymentMonitor::OnAnswer(const std::string& name,
                                 const std::string& body) {
  EntryStatus& status = m_statuses[name];
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  const auto* object = error ? nullptr : document.if_object();
  const auto* version =
      object ? object->if_contains("bundle_version") : nullptr;
  if (version == nullptr) {
    status.is_ready = false;
    return;
  }
  const auto number = version->to_number<BundleVersion>();
  if (number < status.version) {
    ++m_reverts;
  }
  status.version = number;
  status.is_ready = number > 0;
  CheckAwaitedBundle();
}

std::string DeploymentMonitor::NextUrl() {
  std::vector<const DeploymentProcess*> candidates;
  for (const DeploymentProcess& entry : m_deployment.entries()) {
    if (entry.is_in_use && m_statuses[entry.name].is_ready) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    candidates.push_back(&m_deployment.entries().back());
  }
  return candidates[++m_next % candidates.size()]->process->Url();
}

void DeploymentMonitor::OnBundleAccepted(BundleVersion version) {
  m_awaited_version = version;
  m_accepted_at = std::chrono::steady_clock::now();
}

void DeploymentMonitor::SetExcluded(const std::string& place,
                                    bool is_excluded) {
  m_excluded_places[place] = is_excluded;
}

void DeploymentMonitor::CheckAwaitedBundle() {
  if (m_awaited_version == 0) {
    return;
  }
  const bool is_rolled_out =
      std::all_of(m_deployment.entries().begin(), m_deployment.entries().end(),
                  [this](const DeploymentProcess& entry) {
                    const EntryStatus& status = m_statuses[entry.name];
                    return !entry.is_in_use || !status.is_ready ||
                           m_excluded_places[entry.place] ||
                           status.version >= m_awaited_version;
                  });
  if (is_rolled_out) {
    m_longest_rollout_time =
        std::max(m_longest_rollout_time,
                 std::chrono::steady_clock::now() - m_accepted_at);
    m_awaited_version = 0;
  }
}

}  // namespace pistachiowalk::testing
