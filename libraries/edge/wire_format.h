#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "http1/message_head.h"
#include "http1/socket_address.h"
#include "routing/prefix_index.h"
#include "serving/engine_load.h"
#include "serving/named_rate_limit.h"
#include "serving/prompt_part.h"

namespace pistachiowalk {

// Metadata of a caller's request, from its head.
struct CallerRequest {
  // Identifies one attempt of the caller; "" if it sent none.
  RequestId id;
  std::optional<std::chrono::milliseconds> time_left;
  std::string api_key;
  std::string host;
  // Without the query string.
  std::string path;
  // Prompt tokens and maximum output tokens, if the caller states them.
  std::optional<std::pair<uint32_t, uint32_t>> tokens;
  std::vector<PrefixBlock> prompt;
  // The parts of the prompt that other requests may share: all but the last.
  std::vector<PromptPartId> shared_parts;
  // Set if the caller itself resumes a stream after this event.
  std::string last_event_id;
  // The caller's attempt that brought the first event of that stream; "" if it
  // names none.
  RequestId resumed_id;
  // The caller's estimate of the output tokens; 0 if it gives none.
  uint32_t expected_output_tokens = 0;
};

// Metadata added to a request that is sent to an endpoint.
struct ForwardingFields {
  std::chrono::milliseconds time_left{0};
  // The only endpoint that may execute the request.
  EndpointId endpoint;
  CustomerName customer;
  // 0 to 9, where 0 is the most urgent; for model engines.
  std::optional<uint32_t> engine_priority;
  // Set to resume the stream after this event.
  std::string last_event_id;
  // The engine from which the endpoint fetches what it lacks of the prompt.
  std::optional<SocketAddress> fetch_from;
};

// Metadata of an endpoint's response, from its head.
struct EndpointResponse {
  RequestId id;
  EndpointId endpoint;
  bool has_seal = false;
  // The endpoint did not execute the request, and never will.
  bool is_not_executed = false;
  // The body is not the endpoint's own.
  bool is_encoded = false;
  std::optional<ReportedLoad> load;
  NamedRateLimit rate_limit;
  // Set if the endpoint turned the request away and wants none from this node
  // for this time.
  std::optional<std::chrono::milliseconds> pause;
  // The endpoint leaves and takes no further requests.
  bool is_leaving = false;
  // How long the endpoint keeps an idle connection open.
  std::optional<std::chrono::seconds> idle_timeout;
};

// Maps request and response metadata to the HTTP headers of a deployment.
class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual CallerRequest ReadRequest(const RequestHead& head) const = 0;
  // Returns the headers of a request to an endpoint, without framing headers.
  virtual HttpHeaders WriteRequest(const RequestHead& head,
                                   const ForwardingFields& fields) const = 0;
  virtual EndpointResponse ReadResponse(const ResponseHead& head) const = 0;
  // Returns the headers of a forwarded response, without framing headers.
  virtual HttpHeaders WriteResponse(const ResponseHead& head) const = 0;
};

}  // namespace pistachiowalk
