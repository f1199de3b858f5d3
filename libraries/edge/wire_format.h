#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "http1/message_head.h"
#include "routing/prefix_index.h"
#include "serving/engine_load.h"

namespace pistachiowalk {

// What a caller's request says of itself.
struct CallerRequest {
  // Names one attempt of the caller; "" if it sent none.
  RequestId id;
  std::optional<std::chrono::milliseconds> time_left;
  std::string api_key;
  std::string host;
  // Without the query.
  std::string path;
  // Tokens of the prompt and the most that may be generated, if it tells.
  std::optional<std::pair<uint32_t, uint32_t>> tokens;
  std::vector<PrefixBlock> prompt;
  // The caller resumes a stream itself.
  std::string last_event_id;
  // The caller's guess of the generated tokens; 0 if it makes none.
  uint32_t expected_output_tokens = 0;
};

// What the system adds to a request that it sends to an endpoint.
struct ForwardingFields {
  std::chrono::milliseconds time_left{0};
  // The only endpoint that may run it.
  EndpointId endpoint;
  CustomerName customer;
  // 0 to 9, where 0 goes first; for model engines.
  std::optional<uint32_t> engine_priority;
  // Set to go on after this event.
  std::string last_event_id;
};

// What the head of an endpoint's answer says.
struct EndpointResponse {
  RequestId id;
  EndpointId endpoint;
  bool has_seal = false;
  // The endpoint did not run the request, and never will.
  bool is_not_executed = false;
  // The body is not the endpoint's own.
  bool is_encoded = false;
  std::optional<ReportedLoad> load;
  // How long the endpoint keeps the connection when it is idle.
  std::optional<std::chrono::seconds> idle_timeout;
};

// How a deployment spells what callers and endpoints say in HTTP headers.
class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual CallerRequest ReadRequest(const RequestHead& head) const = 0;
  // The headers of a request as sent to an endpoint, without framing.
  virtual HttpHeaders WriteRequest(const RequestHead& head,
                                   const ForwardingFields& fields) const = 0;
  virtual EndpointResponse ReadResponse(const ResponseHead& head) const = 0;
  // The headers of an endpoint's answer as passed on, without framing.
  virtual HttpHeaders WriteResponse(const ResponseHead& head) const = 0;
};

}  // namespace pistachiowalk
