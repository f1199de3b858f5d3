#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

class ActionClaims;
class AdmissionService;
class AuditTrail;
class ActiveBundle;
class EndpointDirectory;
class EventLoop;
class HttpClient;
class LeaseService;
class Metrics;
class RoutingService;
class NodePort;

// References to the components of a daemon, which live as long as the daemon.
struct DaemonContext {
  EventLoop& loop;
  const Clock& clock;
  HttpClient& client;
  ActiveBundle& bundle;
  EndpointDirectory& endpoints;
  ActionClaims& claims;
  Metrics& metrics;
  RoutingService& routing;
  AdmissionService& admission;
  NodePort& nodes;
  AuditTrail& audit;
  const LeaseService& lease;
  NodeId node;
  PlaceName place;
  DataCenterName data_center;
};

}  // namespace pistachiowalk
