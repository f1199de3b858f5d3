#pragma once

#include <functional>
#include <set>
#include <string>

#include "base/clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "routing/endpoint_table.h"

namespace pistachiowalk {

class Metrics;

// Polls the platform's VM list (docs/interfaces/vm_list.md) and updates the
// endpoint table from it.
class EndpointDirectory {
 public:
  using LeavingCallback = std::function<void(const EndpointId& endpoint)>;

  EndpointDirectory(EventLoop& loop,
                    const Clock& clock,
                    HttpClient& client,
                    std::string vm_list_url,
                    Duration interval,
                    Metrics& metrics);

  void Start() { Poll(); }
  EndpointTable& table() { return m_table; }
  // Number of VM lists applied to the table.
  uint64_t list_count() const { return m_list_count; }
  // Marks an endpoint as leaving when that is known from another source than
  // the VM list.
  void MarkLeaving(const EndpointId& endpoint);
  // Sets the callback that is called once for each endpoint that starts to
  // leave.
  void OnLeaving(LeavingCallback callback) {
    m_on_leaving = std::move(callback);
  }

 private:
  void Poll();
  void OnResponse(const HttpCallResult& result,
                  const std::string& body,
                  const std::string& entity_tag);
  void ReportLeavingEndpoints();

  EventLoop& m_loop;
  const Clock& m_clock;
  HttpClient& m_client;
  std::string m_vm_list_url;
  Duration m_interval;
  Metrics& m_metrics;
  EndpointTable m_table;
  uint64_t m_list_count = 0;
  // Entity tag of the last applied list, empty before the first one.
  std::string m_entity_tag;
  std::set<EndpointId> m_reported_leaving;
  LeavingCallback m_on_leaving;
};

}  // namespace pistachiowalk
