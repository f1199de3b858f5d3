#include "daemon/endpoint_directory.h"

#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "base/json_fields.h"
#include "daemon/daemon_log_events.h"
#include "daemon/metrics.h"

namespace pistachiowalk {
namespace {

constexpr std::chrono::milliseconds kRequestTimeout{2000};
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

std::optional<Endpoint> ReadEndpoint(const boost::json::value& value) {
  const boost::json::object* object = value.if_object();
  const auto* port = object ? object->if_contains("port") : nullptr;
  if (port == nullptr || !port->is_int64()) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.id = EndpointId(StringAt(*object, "id"));
  endpoint.vm = VmId(StringAt(*object, "id"));
  endpoint.address = StringAt(*object, "address");
  endpoint.port = static_cast<uint16_t>(port->get_int64());
  endpoint.place = PlaceName(StringAt(*object, "place"));
  endpoint.vm_class = VmClassName(StringAt(*object, "vm_class"));
  endpoint.service = ServiceName(StringAt(*object, "service"));
  endpoint.state = StringAt(*object, "state") == "leaving"
                       ? EndpointState::kLeaving
                       : EndpointState::kLive;
  return endpoint;
}

// Returns nullopt if any part of the list is malformed; no entry is applied
// then.
std::optional<std::vector<Endpoint>> ReadVmList(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  const auto* object = error ? nullptr : document.if_object();
  const auto* vms = object ? object->if_contains("vms") : nullptr;
  if (vms == nullptr || !vms->is_array()) {
    return std::nullopt;
  }
  std::vector<Endpoint> endpoints;
  for (const boost::json::value& item : vms->get_array()) {
    std::optional<Endpoint> endpoint = ReadEndpoint(item);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(std::move(*endpoint));
  }
  return endpoints;
}

}  // namespace

EndpointDirectory::EndpointDirectory(EventLoop& loop,
                                     const Clock& clock,
                                     HttpClient& client,
                                     std::string vm_list_url,
                                     Duration interval,
                                     Metrics& metrics)
    : m_loop(loop),
      m_clock(clock),
      m_client(client),
      m_vm_list_url(std::move(vm_list_url)),
      m_interval(interval),
      m_metrics(metrics) {}

void EndpointDirectory::Poll() {
  HttpCallOptions options;
  options.url = m_vm_list_url + "/v1/vms";
  options.total_timeout = kRequestTimeout;
  // The platform answers without a body if the list has not changed.
  if (!m_entity_tag.empty()) {
    options.headers.push_back({"If-None-Match", m_entity_tag});
  }
  auto body = std::make_shared<std::string>();
  auto entity_tag = std::make_shared<std::string>();
  HttpCallHandlers handlers;
  handlers.on_headers = [entity_tag](int, const HttpHeaders& headers) {
    if (const std::string* tag = FindHeader(headers, "ETag")) {
      *entity_tag = *tag;
    }
  };
  handlers.on_data = [body](std::string_view data) { body->append(data); };
  handlers.on_done = [this, body, entity_tag](const HttpCallResult& result) {
    OnResponse(result, *body, *entity_tag);
    m_loop.Schedule(m_interval, [this] { Poll(); });
  };
  m_client.Start(std::move(options), std::move(handlers));
}

void EndpointDirectory::OnResponse(const HttpCallResult& result,
                                   const std::string& body,
                                   const std::string& entity_tag) {
  if (result.status == HttpCallStatus::kComplete &&
      result.http_status == kStatusNotModified) {
    return;
  }
  const bool is_success = result.status == HttpCallStatus::kComplete &&
                          result.http_status == kStatusOk;
  const auto endpoints = is_success ? ReadVmList(body) : std::nullopt;
  if (!endpoints) {
    // NOTE: The table is kept, because an outage of the platform does not mean
    // that endpoints leave.
    LogEvent(daemon_log::kVmListFailed, {{"detail", result.detail}});
    return;
  }
  m_entity_tag = entity_tag;
  m_table.ApplyVmList(*endpoints, m_clock.Now());
  ++m_list_count;
  ReportLeavingEndpoints();
}

void EndpointDirectory::MarkLeaving(const EndpointId& endpoint) {
  m_table.MarkLeaving(endpoint, m_clock.Now());
  ReportLeavingEndpoints();
}

void EndpointDirectory::ReportLeavingEndpoints() {
  std::erase_if(m_reported_leaving, [this](const EndpointId& id) {
    return m_table.Find(id) == nullptr;
  });
  size_t leaving = 0;
  std::vector<EndpointId> newly_leaving;
  for (const auto& [id, record] : m_table.records()) {
    if (!record.is_leaving) {
      continue;
    }
    ++leaving;
    if (m_reported_leaving.insert(id).second) {
      newly_leaving.push_back(id);
    }
  }
  m_metrics.SetEndpoints(m_table.records().size() - leaving, leaving);
  for (const EndpointId& id : newly_leaving) {
    LogEvent(daemon_log::kEndpointLeaving, {{"endpoint", id.value()}});
    if (m_on_leaving) {
      m_on_leaving(id);
    }
  }
}

}  // namespace pistachiowalk
