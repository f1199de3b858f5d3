#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "net/event_loop.h"
#include "soak/soak_estate.h"

namespace pistachiowalk::testing {

// Draws faults by a seed, one after another and overlapping.
class SoakPlan {
 public:
  SoakPlan(EventLoop& loop, SoakEstate& estate, uint64_t seed);

  // Draws faults until `length` is over.
  void Start(Duration length);
  // How often each kind of fault came.
  const std::map<std::string, size_t>& counts() const { return m_counts; }

 private:
  void DrawNext();
  void DrawNodeFault();
  void DrawStoreFault();
  void DrawEndpointFault();
  void DrawLinkFault();
  void DrawChange();
  // Several nodes after one another, or at once.
  void StopInTurn();
  void KillMany();
  ProxyFault DrawProxyFault();
  size_t DrawNode() { return m_random() % m_estate.node_count(); }
  size_t DrawEndpoint() { return m_random() % m_estate.endpoint_count(); }
  Duration DrawTime(int least_ms, int most_ms);
  void Count(const std::string& kind) { ++m_counts[kind]; }

  EventLoop& m_loop;
  SoakEstate& m_estate;
  std::mt19937_64 m_random;
  TimePoint m_ends_at{};
  std::map<std::string, size_t> m_counts;
};

}  // namespace pistachiowalk::testing
