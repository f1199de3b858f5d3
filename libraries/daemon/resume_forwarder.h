#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_exchange.h"

namespace pistachiowalk {

// A caller's return to a request that another node may hold.
struct ResumeRequest {
  // Where to ask, in this order: base URLs of nodes.
  std::vector<std::string> node_urls;
  std::string request_id;
  // Times that an asked node may pass the call on in turn.
  uint32_t hops = 0;
};

// Passes the call on to the first node that holds the request, and its
// answer to the caller. Answers unknown-request when none does.
void ForwardResume(HttpClient& client,
                   const HttpExchangePtr& exchange,
                   ResumeRequest request);

}  // namespace pistachiowalk
