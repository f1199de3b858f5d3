#include "daemon/status_document.h"

#include <boost/json.hpp>
#include <chrono>

#include "daemon/active_bundle.h"
#include "daemon/endpoint_directory.h"
#include "daemon/lease_service.h"
#include "membership/node_port.h"

namespace pistachiowalk {

std::string StatusDocument(const DaemonContext& context, size_t open_requests) {
  boost::json::object document{{"node", context.node.value()},
                               {"place", context.place.value()},
                               {"data_center", context.data_center.value()},
                               {"bundle_version", context.bundle.version()},
                               {"open_requests", open_requests}};
  const LeaseHolder& lease = context.lease.lease();
  document["lease"] = boost::json::object{
      {"key", lease.key()},
      {"state", LeaseStateName(context.lease.state())},
      {"holder", lease.known_holder()},
      {"fence", lease.fence()},
      {"longest_pause_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(
           lease.longest_pause())
           .count()},
      {"stopped", context.lease.BlockedOperations()}};
  boost::json::array endpoints;
  for (const auto& [id, record] : context.endpoints.table().records()) {
    endpoints.push_back(
        boost::json::object{{"id", id.value()},
                            {"service", record.endpoint.service.value()},
                            {"place", record.endpoint.place.value()},
                            {"state", record.is_leaving ? "leaving" : "live"},
                            {"in_flight", record.in_flight}});
  }
  document["endpoints"] = std::move(endpoints);
  boost::json::array members;
  for (const NodeView& node : context.nodes.LocalNodes()) {
    members.push_back(boost::json::object{{"node", node.node.value()},
                                          {"url", node.http_url}});
  }
  document["members"] = std::move(members);
  return boost::json::serialize(document);
}

}  // namespace pistachiowalk
