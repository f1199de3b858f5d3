#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/serving_config.h"

namespace pistachiowalk::testing {

// What may be repeated, and what an answer has to look like.
struct SoakRequest {
  std::string id;
  RouteKind kind = RouteKind::kIdempotent;
  bool is_resumable = false;
  std::string customer;
  std::string path;
  std::string body;
  double tokens = 0.0;
  // Events of a whole stream.
  uint32_t events = 0;
  // The node that the caller is connected to.
  std::string node;
};

// An answer as the caller saw it.
struct SoakResponse {
  int status = 0;
  bool has_seal = false;
  // The answer came to its stated end.
  bool is_complete = false;
  std::string body;
};

// What one endpoint was asked to run.
struct SoakRun {
  std::string id;
  std::string endpoint;
  std::string service;
  std::string customer;
  std::string body;
  // Events that the caller has already.
  uint32_t resumes_after = 0;
};

// The promises' bounds.
struct SoakBounds {
  Duration reconnect_time{};
  Duration config_bound{};
  Duration drain_bound{};
  Duration limit_window{};
  double limit_overage = 0.0;
  double limit_slack = 0.0;
};

// Checks the system's promises by what callers, endpoints, the store and the
// cloud API see. It is told of each event as it happens and keeps what broke a
// promise.
class InvariantChecker {
 public:
  explicit InvariantChecker(SoakBounds bounds) : m_bounds(bounds) {}

  // A fault on a node or its links; promises with a time bound hold again once
  // it is over for the contact time.
  void RecordNodeFault(const std::string& node, TimePoint until);
  void RecordSent(const SoakRequest& request, TimePoint now);
  void RecordRun(const SoakRun& run, TimePoint now);
  // An endpoint broke off, failed or was cut while it worked on the request.
  void RecordEndpointFault(const std::string& id);
  void RecordAnswer(const std::string& id,
                    const SoakResponse& answer,
                    TimePoint now);
  // The connection ended without a whole answer.
  void RecordDisconnect(const std::string& id, TimePoint now);
  // A planned stop of a node: what it has read has to be answered.
  void RecordStopRequest(const std::string& node, TimePoint now);
  void RecordExit(const std::string& node, int exit_code, bool was_requested);
  // From now on `path` goes to `service`, as far as the store has acknowledged.
  void RecordRoute(const std::string& path,
                   const std::string& service,
                   TimePoint now);
  // What the customer may use in a window from now on.
  void RecordLimit(const std::string& customer, double allowed, TimePoint now);
  void RecordLeaving(const std::string& endpoint, TimePoint now);
  void RecordUsage(const std::string& holder,
                   uint64_t fence,
                   uint64_t window,
                   const std::string& counts);
  void RecordLeaseHolder(const std::string& holder, uint64_t fence);
  void RecordViolation(const std::string& rule, const std::string& detail);

  const std::vector<std::string>& violations() const { return m_violations; }
  size_t sent() const { return m_requests.size(); }
  size_t served() const { return m_served; }
  size_t refused() const { return m_refused; }
  size_t runs() const { return m_runs; }

 private:
  struct RequestRecord {
    SoakRequest request;
    TimePoint sent_at{};
    std::vector<SoakRun> runs;
    bool has_endpoint_fault = false;
    // The caller was told that it has not run.
    bool is_refused = false;
  };
  struct RouteChange {
    TimePoint since{};
    std::string service;
  };

  bool IsUndisturbed(const std::string& node, TimePoint now) const;
  void CheckRoute(const RequestRecord& record,
                  const SoakRun& run,
                  TimePoint now);
  void CheckLimit(const RequestRecord& record, TimePoint now);
  void CheckStream(const RequestRecord& record, const SoakResponse& answer);

  SoakBounds m_bounds;
  std::map<std::string, RequestRecord> m_requests;
  std::map<std::string, TimePoint> m_disturbed_until;
  std::map<std::string, TimePoint> m_stop_requested;
  std::map<std::string, std::vector<RouteChange>> m_routes;
  std::map<std::string, TimePoint> m_leaving;
  std::map<std::string, std::deque<std::pair<TimePoint, double>>> m_used;
  std::map<std::string, std::vector<std::pair<TimePoint, double>>> m_allowed;
  std::map<uint64_t, std::string> m_usage;
  std::map<uint64_t, std::string> m_lease_holders;
  std::vector<std::string> m_violations;
  size_t m_served = 0;
  size_t m_refused = 0;
  size_t m_runs = 0;
};

// The bytes of a stream's events after the first `after`, as endpoints send
// them; the last one ends the stream.
std::string SoakEvent(const std::string& id, uint32_t number, uint32_t events);
// What an endpoint answers to a call.
std::string SoakBody(const std::string& id);

}  // namespace pistachiowalk::testing
