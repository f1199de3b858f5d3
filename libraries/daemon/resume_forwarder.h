#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_exchange.h"

namespace pistachiowalk {

// A caller's request to resume a stream that another node may have.
struct ResumeRequest {
  // Base URLs of the nodes to try, in this order.
  std::vector<std::string> node_urls;
  std::string request_id;
  // How many more times the request may be forwarded by the receiving node.
  uint32_t hops = 0;
};

// Forwards the request to one node after another until a node has the stream,
// and relays that node's response. Responds with unknown-request if no node has
// it.
void ForwardResume(HttpClient& client,
                   const HttpExchangePtr& exchange,
                   ResumeRequest request);

}  // namespace pistachiowalk
