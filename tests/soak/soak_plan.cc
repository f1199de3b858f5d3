#include "soak/soak_plan.h"

#include <algorithm>

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;

constexpr double kMeanPauseMs = 700.0;

}  // namespace

SoakPlan::SoakPlan(EventLoop& loop, SoakEstate& estate, uint64_t seed)
    : m_loop(loop), m_estate(estate), m_random(seed) {}

void SoakPlan::Start(Duration length) {
  m_ends_at = std::chrono::steady_clock::now() + length;
  DrawNext();
}

Duration SoakPlan::DrawTime(int least_ms, int most_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(least_ms, most_ms)(m_random));
}

void SoakPlan::DrawNext() {
  std::exponential_distribution<double> pause(1.0 / kMeanPauseMs);
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(pause(m_random)));
  m_loop.Schedule(wait, [this] {
    if (std::chrono::steady_clock::now() >= m_ends_at) {
      return;
    }
    switch (m_random() % 5) {
      case 0:
        DrawNodeFault();
        break;
      case 1:
        DrawStoreFault();
        break;
      case 2:
        DrawEndpointFault();
        break;
      case 3:
        DrawLinkFault();
        break;
      default:
        DrawChange();
    }
    DrawNext();
  });
}

void SoakPlan::DrawNodeFault() {
  switch (m_random() % 6) {
    case 0:
      Count("node killed");
      m_estate.KillNode(DrawNode(), DrawTime(100, 3000));
      return;
    case 1:
      Count("node stopped");
      m_estate.StopNode(DrawNode());
      return;
    case 2:
      Count("node paused");
      m_estate.PauseNode(DrawNode(), DrawTime(300, 5000));
      return;
    case 3:
      Count("nodes stopped in turn");
      StopInTurn();
      return;
    case 4:
      Count("nodes killed at once");
      KillMany();
      return;
    default:
      Count("settings changed");
      m_estate.HangUp(DrawNode());
  }
}

void SoakPlan::StopInTurn() {
  const Duration gap = DrawTime(500, 2500);
  const size_t count = 1 + m_random() % m_estate.node_count();
  for (size_t i = 0; i < count; ++i) {
    m_loop.Schedule(gap * static_cast<int64_t>(i),
                    [this, i] { m_estate.StopNode(i); });
  }
}

void SoakPlan::KillMany() {
  const Duration down = DrawTime(100, 2000);
  const size_t part = 2 + m_random() % 3;
  for (size_t i = 0; i < m_estate.node_count(); ++i) {
    if (m_random() % part != 0) {
      m_estate.KillNode(i, down);
    }
  }
}

void SoakPlan::DrawStoreFault() {
  const Duration time = DrawTime(500, 6000);
  switch (m_random() % 8) {
    case 0:
      Count("store down");
      m_estate.HarmStore(FakeStoreMode::kDown, time);
      return;
    case 1:
      Count("store silent");
      m_estate.HarmStore(FakeStoreMode::kUnresponsive, time);
      return;
    case 2:
      Count("store slow");
      m_estate.HarmStore(FakeStoreMode::kSlow, time);
      return;
    case 3:
      Count("store's answers lost");
      m_estate.HarmStore(FakeStoreMode::kResponsesLost, time);
      return;
    case 4:
      Count("store forgets its history");
      m_estate.store().Compact();
      return;
    case 5:
      Count("link to the store silent");
      m_estate.SilenceStoreLink(DrawNode());
      return;
    case 6:
      Count("cloud down");
      m_estate.cloud().SetDown(true);
      m_loop.Schedule(time, [this] { m_estate.cloud().SetDown(false); });
      return;
    default:
      Count("link to the store harmed");
      m_estate.HarmStoreLink(DrawNode(), DrawProxyFault(), time);
  }
}

ProxyFault SoakPlan::DrawProxyFault() {
  switch (m_random() % 4) {
    case 0:
      return ProxyFault{.delay = DrawTime(20, 400)};
    case 1:
      return ProxyFault{.drops_forward = true};
    case 2:
      return ProxyFault{.drops_back = true};
    default:
      return ProxyFault{.holds_new = true};
  }
}

void SoakPlan::DrawEndpointFault() {
  const Duration time = DrawTime(500, 5000);
  switch (m_random() % 5) {
    case 0:
      Count("endpoint crashed");
      m_estate.CrashEndpoint(DrawEndpoint());
      return;
    case 1:
      Count("endpoint leaves");
      m_estate.DrainEndpoint(DrawEndpoint());
      return;
    case 2:
      Count("endpoint fails");
      m_estate.HarmEndpoint(DrawEndpoint(), FakeEndpointMode::kFailing, time);
      return;
    case 3:
      Count("endpoint breaks answers");
      m_estate.HarmEndpoint(DrawEndpoint(), FakeEndpointMode::kBreaking, time);
      return;
    default:
      Count("endpoint hangs");
      m_estate.HarmEndpoint(DrawEndpoint(), FakeEndpointMode::kHanging, time);
  }
}

void SoakPlan::DrawLinkFault() {
  const Duration time = DrawTime(300, 4000);
  switch (m_random() % 4) {
    case 0:
      Count("callers' connections reset");
      m_estate.ResetCallers(DrawNode());
      return;
    case 1:
      Count("callers' link harmed");
      m_estate.HarmCallerLink(DrawNode(), DrawProxyFault(), time);
      return;
    case 2:
      Count("endpoint's connections reset");
      m_estate.ResetEndpointLinks(DrawEndpoint());
      return;
    default:
      Count("endpoint's link harmed");
      m_estate.HarmEndpointLink(DrawEndpoint(), DrawProxyFault(), time);
  }
}

void SoakPlan::DrawChange() {
  switch (m_random() % 3) {
    case 0:
      Count("route moved");
      m_estate.MoveRoute(m_random);
      return;
    case 1:
      Count("key replaced");
      m_estate.ReplaceKey(m_random);
      return;
    default:
      Count("limit changed");
      m_estate.ChangeLimit(m_random);
  }
}

}  // namespace pistachiowalk::testing
