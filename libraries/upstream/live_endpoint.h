#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "following/endpoint_entry.h"
#include "serving/endpoint_capacity.h"
#include "serving/endpoint_health.h"
#include "serving/engine_load.h"
#include "upstream/endpoint_connection_pool.h"

namespace pistachiowalk {

// This node's state of one incarnation of an endpoint. Requests keep it alive
// until their responses end, even after the endpoint has left.
class LiveEndpoint final
    : public boost::intrusive_ref_counter<LiveEndpoint,
                                          boost::thread_unsafe_counter> {
 public:
  LiveEndpoint(EventLoop& loop, EndpointEntry entry);

  const EndpointEntry& entry() const { return m_entry; }
  void SetEntry(const EndpointEntry& entry) { m_entry = entry; }
  uint64_t key() const { return m_key; }

  EndpointConnectionPool connections;
  EndpointHealth health;
  // This node's outstanding work at the endpoint.
  OutstandingWork own_work;
  ReportedLoad reported_load;
  bool has_reported_load = false;
  // When it last answered this node without saying that it leaves.
  TimePoint answered_at{};
  // What this node has measured lately, and the endpoint's reports on how long
  // work takes there.
  CapacitySamples capacity;
  WorkTimeReports work_time;
  // It wants no request from this node before this time.
  TimePoint paused_until{};

 private:
  EndpointEntry m_entry;
  uint64_t m_key;
};

using LiveEndpointPtr = boost::intrusive_ptr<LiveEndpoint>;

}  // namespace pistachiowalk
