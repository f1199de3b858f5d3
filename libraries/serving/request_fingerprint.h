#pragma once

#include <string_view>

#include "serving/prompt_part.h"

namespace pistachiowalk {

// What makes two requests the same, whatever their ids, deadlines, connections
// and entry nodes.
struct RequestIdentity {
  std::string_view customer;
  std::string_view method;
  std::string_view host;
  // Path and query.
  std::string_view target;
  std::string_view body;

  friend auto operator<=>(const RequestIdentity&,
                          const RequestIdentity&) = default;
};

// A cryptographic hash of the request, the same on all nodes, so that nobody
// can make a request that is taken for another customer's. It stands among the
// request's prompt parts as one that only repeats of the request share. Of a
// very long body only both ends and the length count.
PromptPartId FingerprintRequest(const RequestIdentity& identity);

}  // namespace pistachiowalk
