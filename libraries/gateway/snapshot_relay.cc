#include "gateway/snapshot_relay.h"

#include "gateway/gateway_log_events.h"
#include "gateway/snapshot_codec.h"

namespace pistachiowalk {
namespace {

constexpr std::string_view kSnapshotPathWithoutHistory = "/followed/";
constexpr std::string_view kSnapshotPath = "/snapshots/";
constexpr std::string_view kChangesPath = "/changes/";
// Until a response begins, and between two parts of it. Its whole time follows
// its size and the peer's link.
constexpr Duration kProgressTimeout = std::chrono::milliseconds(800);
// Time for which a peer that has refused a transfer is not asked.
constexpr Duration kBusyTime = std::chrono::milliseconds(400);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// Time after which a peer of an earlier build is asked for changes again, as it
// may have been replaced.
constexpr Duration kFormLifetime = std::chrono::seconds(30);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

}  // namespace

void SnapshotRelay::AddFollower(std::string name,
                                PrefixFollower& follower,
                                SnapshotObserver observer) {
  m_followers[std::move(name)] =
      Followed{.follower = &follower, .observer = std::move(observer)};
}

void SnapshotRelay::Serve(const ServerExchangePtr& exchange) {
  const std::string& target = exchange->head().target;
  const auto find = [&](std::string_view path) -> const PrefixFollower* {
    const auto followed = target.starts_with(path)
                              ? m_followers.find(target.substr(path.size()))
                              : m_followers.end();
    return followed == m_followers.end() ? nullptr : followed->second.follower;
  };
  std::string body;
  if (const PrefixFollower* follower = find(kChangesPath)) {
    const auto request = DecodeChangesRequest(exchange->body());
    if (!request) {
      exchange->Respond(kBadRequest, {}, "");
      return;
    }
    body = EncodePrefixChanges(follower->ChangesFor(*request));
  } else if ((follower = find(kSnapshotPath)) != nullptr) {
    body = EncodePrefixSnapshot(follower->Snapshot(),
                                SnapshotFormat::kWithHistory);
  } else if ((follower = find(kSnapshotPathWithoutHistory)) != nullptr) {
    body = EncodePrefixSnapshot(follower->Snapshot(),
                                SnapshotFormat::kWithoutHistory);
  } else {
    exchange->Respond(kNotFound, {}, "");
    return;
  }
  if (!m_admission.Admit(body.size(), m_clock.Now())) {
    exchange->Respond(kServiceUnavailable, {}, "");
    return;
  }
  m_traffic.served_bytes += body.size();
  exchange->Respond(kOk, {{"Content-Type", "application/octet-stream"}}, body);
}

SnapshotRelay::Form SnapshotRelay::ChooseForm(
    const Followed& followed,
    const SnapshotPeer& source) const {
  if (!source.names_histories) {
    return Form::kSnapshotWithoutHistory;
  }
  const auto without_changes = m_peers_without_changes.find(source.address);
  const bool knows_changes =
      without_changes == m_peers_without_changes.end() ||
      m_clock.Now() - without_changes->second >= kFormLifetime;
  return knows_changes && !followed.needs_whole ? Form::kChanges
                                                : Form::kSnapshot;
}

bool SnapshotRelay::IsBusy(const SocketAddress& peer) const {
  const auto busy = m_busy_peers.find(peer);
  return busy != m_busy_peers.end() && m_clock.Now() - busy->second < kBusyTime;
}

void SnapshotRelay::Fetch(const std::string& name, const SnapshotPeer& source) {
  if (m_pending.contains(name)) {
    return;
  }
  const Followed& followed = m_followers.at(name);
  const Form form = ChooseForm(followed, source);
  HttpClientRequest request{.method = "GET",
                            .timeout = kProgressTimeout,
                            .progress_timeout = kProgressTimeout};
  switch (form) {
    case Form::kChanges:
      request.method = "POST";
      request.target = std::string(kChangesPath) + name;
      request.body =
          EncodeChangesRequest(followed.follower->MakeChangesRequest());
      break;
    case Form::kSnapshot:
      request.target = std::string(kSnapshotPath) + name;
      break;
    case Form::kSnapshotWithoutHistory:
      request.target = std::string(kSnapshotPathWithoutHistory) + name;
      break;
  }
  auto& http_client = m_pending[name];
  http_client = std::make_unique<PooledHttpClient>(m_loop, source.address);
  http_client->Call(
      request,
      [this, name, form, peer = source.address, started = m_clock.Now(),
       alive = std::weak_ptr(m_alive)](const HttpClientResponse& response) {
        if (alive.expired()) {
          return;
        }
        // NOTE: The PooledHttpClient is running this callback, so it is
        // destroyed in the next iteration of the loop.
        auto done = std::make_shared<std::unique_ptr<PooledHttpClient>>(
            std::move(m_pending[name]));
        m_pending.erase(name);
        m_loop.Post([done] { done->reset(); });
        OnResponse(name, form, peer, m_clock.Now() - started, response);
      });
}

void SnapshotRelay::OnResponse(const std::string& name,
                               Form form,
                               const SocketAddress& peer,
                               Duration elapsed,
                               const HttpClientResponse& response) {
  Followed& followed = m_followers.at(name);
  if (form == Form::kChanges && response.status == kNotFound) {
    m_peers_without_changes[peer] = m_clock.Now();
  }
  if (response.status == kServiceUnavailable) {
    m_busy_peers[peer] = m_clock.Now();
    m_loop.Schedule(kRetryDelay, [this, alive = std::weak_ptr(m_alive)] {
      if (!alive.expired()) {
        m_refused();
      }
    });
  }
  const bool is_applied =
      response.status == kOk && Apply(followed, form, response.body);
  (is_applied ? m_traffic.fetched_bytes : m_traffic.wasted_bytes) +=
      response.received_bytes;
  LogEvent(
      is_applied ? gateway_log::kRelayFetched : gateway_log::kRelayFailed,
      {{"prefix", name},
       {"peer", FormatSocketAddress(peer)},
       {"status", std::to_string(response.status)},
       {"bytes", std::to_string(response.received_bytes)},
       {"ms", std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
                      .count())}});
}

bool SnapshotRelay::Apply(Followed& followed,
                          Form form,
                          const std::string& body) {
  PrefixChanges changes;
  if (form == Form::kChanges) {
    std::optional<PrefixChanges> decoded = DecodePrefixChanges(body);
    if (!decoded) {
      return false;
    }
    changes = std::move(*decoded);
  } else {
    std::optional<PrefixSnapshot> snapshot = DecodePrefixSnapshot(
        body, form == Form::kSnapshot ? SnapshotFormat::kWithHistory
                                      : SnapshotFormat::kWithoutHistory);
    if (!snapshot) {
      return false;
    }
    changes = PrefixChanges{.as_of = snapshot->as_of,
                            .newest_change = snapshot->newest_change,
                            .items = std::move(snapshot->items)};
  }
  followed.needs_whole = !followed.follower->ApplyPeerChanges(changes);
  if (!followed.needs_whole && !changes.since) {
    followed.observer(changes.items);
  }
  return !followed.needs_whole;
}

}  // namespace pistachiowalk
