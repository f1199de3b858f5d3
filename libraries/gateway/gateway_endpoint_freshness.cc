#include <algorithm>
#include <limits>
#include <utility>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: keeps track of how recent the list of endpoints is, and of
// what may be used while that is not known.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Interval between fetches from peers while the list is unconfirmed, as a part
// of the bound.
constexpr int kPeerAskDivisor = 8;

// Part of the bound for a request that was placed to reach its endpoint.
constexpr int kSendTimeDivisor = 4;

std::string MillisecondsBetween(std::optional<TimePoint> from, TimePoint to) {
  return from
             ? std::to_string(
                   std::chrono::duration_cast<milliseconds>(to - *from).count())
             : "-";
}

std::string OrNone(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

void Gateway::OnListConfirmation(const ListConfirmation& confirmation) {
  if (confirmation.node == m_settings.node) {
    return;
  }
  m_peers.NoteEndpointsChange(confirmation);
  NotePeerList(m_list_freshness, confirmation, m_endpoint_follower->as_of(),
               m_ports.clock.Now());
}

bool Gateway::AskForEndpoints(PrefixFollower::AskCallback ended) {
  const std::optional<TimePoint> asked_before = m_list_freshness.asked_at;
  NoteStoreAsked(m_list_freshness, m_ports.clock.Now());
  const bool is_sent = m_endpoint_follower->AskNow(std::move(ended));
  if (!is_sent) {
    m_list_freshness.asked_at = asked_before;
  }
  return is_sent;
}

void Gateway::StepEndpointFreshness() {
  PrefixFollower& follower = *m_endpoint_follower;
  if (!follower.has_state()) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  const Duration bound = m_settings.drain_bound;
  NoteApplied(m_list_freshness, follower.as_of());
  const bool is_teller =
      !follower.is_passive() || m_digest_plan.represents_data_center;
  if (IsAskDue(m_list_freshness, bound, is_teller, m_list_draw, now)) {
    AskForEndpoints([](bool) {});
  }
  if (is_teller && IsTellDue(m_list_freshness, bound, m_told_confirmed_at,
                             m_told_list_at, now)) {
    m_told_confirmed_at = m_list_freshness.confirmed.at;
    m_told_list_at = now;
    const ListConfirmation confirmation{
        .node = m_settings.node,
        .history = follower.covering_position().history,
        .revision = follower.covering_position().revision,
        .age_milliseconds = static_cast<uint32_t>(
            std::min<int64_t>(std::chrono::duration_cast<milliseconds>(
                                  now - m_list_freshness.confirmed.at)
                                  .count(),
                              std::numeric_limits<int32_t>::max()))};
    m_digest_exchange->Send(confirmation, AddressesOf(m_digest_plan.direct));
    if (m_digest_plan.represents_data_center) {
      m_digest_exchange->Send(confirmation, AddressesOf(m_digest_plan.remote));
    }
  }
  const ListState state =
      JudgeList(m_list_freshness, bound, !m_peers.peers().empty(), now);
  if (state == ListState::kUnconfirmed &&
      now - m_peers_asked_at >= bound / kPeerAskDivisor) {
    m_peers_asked_at = now;
    AskPeersForEndpoints();
  }
  m_endpoints.SetListTerms(EndpointListTerms{
      .confirmed_until =
          (state == ListState::kStoreAway ? now
                                          : m_list_freshness.confirmed.at) +
          bound / 2,
      .answer_age = bound / 2,
      .answers_until =
          m_list_freshness.confirmed.at + bound - bound / kSendTimeDivisor,
      .may_use_all = IsCutOff(m_list_freshness, bound, now)});
  if (state != m_list_state) {
    m_list_state = state;
    LogListState(state);
  }
}

void Gateway::LogListState(ListState state) {
  const TimePoint now = m_ports.clock.Now();
  const StorePosition newest = m_list_freshness.told.empty()
                                   ? m_endpoint_follower->newest_change()
                                   : m_list_freshness.told.rbegin()->first;
  const LogEventKind& kind =
      state == ListState::kConfirmed     ? gateway_log::kListConfirmed
      : state == ListState::kUnconfirmed ? gateway_log::kListUnconfirmed
                                         : gateway_log::kListStoreAway;
  LogEvent(
      kind,
      {{"known", FormatStorePosition(m_endpoint_follower->as_of())},
       {"told", FormatStorePosition(newest)},
       {"confirmed_by", OrNone(m_list_freshness.confirmed.source)},
       {"ms", MillisecondsBetween(m_list_freshness.confirmed.at, now)},
       {"told_by", OrNone(m_list_freshness.told_by)},
       {"told_ms", MillisecondsBetween(m_list_freshness.told_at, now)},
       {"store_ms", MillisecondsBetween(m_list_freshness.answered_at, now)},
       {"failed_ms", MillisecondsBetween(m_list_freshness.failed_at, now)},
       {"passive", m_endpoint_follower->is_passive() ? "yes" : "no"}});
}

}  // namespace pistachiowalk
