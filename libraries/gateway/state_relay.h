#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "following/prefix_follower.h"
#include "http1/http_service.h"
#include "http1/pooled_http_client.h"

namespace pistachiowalk {

// Lets a node that the store turns away follow it through a peer: serves what
// this node knows of a prefix, and asks peers for it.
class StateRelay {
 public:
  explicit StateRelay(EventLoop& loop) : m_loop(loop) {}

  void AddFollower(std::string name, PrefixFollower& follower);
  // Answers a peer's request.
  void Serve(const ServerExchangePtr& exchange) const;
  // Asks `peer` for the state of one follower, unless a question is open.
  void Ask(const std::string& name, const SocketAddress& peer);

 private:
  EventLoop& m_loop;
  std::map<std::string, PrefixFollower*> m_followers;
  std::map<std::string, std::unique_ptr<PooledHttpClient>> m_open;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot);
std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes);

}  // namespace pistachiowalk
