#include "daemon/bundle_updater.h"

#include <chrono>
#include <random>
#include <variant>

#include "bundle/bundle_roll.h"
#include "daemon/daemon_log_events.h"
#include "daemon/metrics.h"
#include "daemon/node_network.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

BundleVerification CheckBundle(SignedBundle envelope,
                               const SignaturePolicy& policy) {
  BundleVerification checked;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(bundle, VerifySignedBundle(envelope, policy));
        checked.bundle = std::make_shared<const Bundle>(std::move(bundle));
        checked.envelope =
            std::make_shared<const SignedBundle>(std::move(envelope));
        return {};
      },
      [&](const BundleError& error) { checked.error = error.detail; },
      [&] { checked.error = "unknown"; });
  return checked;
}

}  // namespace

BundleUpdater::BundleUpdater(EventLoop& loop,
                             const Clock& clock,
                             StorePort& store,
                             NodeNetwork& network,
                             SignaturePolicy policy,
                             ActiveBundle& active_bundle,
                             Metrics& metrics,
                             AuditSink& audit)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_network(network),
      m_active_bundle(active_bundle),
      m_metrics(metrics),
      m_audit(audit),
      m_replicator(
          network.self(),
          [policy = std::move(policy)](SignedBundle envelope) {
            return CheckBundle(std::move(envelope), policy);
          },
          std::random_device()(),
          clock.Now()) {
  for (const NodeMessageKind kind :
       {NodeMessageKind::kBundleOffer, NodeMessageKind::kBundleRequest,
        NodeMessageKind::kBundleContent}) {
    network.OnMessage(kind, [this](const NodeEnvelope& envelope) {
      BundleReplicatorCommands commands;
      m_replicator.Receive(envelope, m_clock.Now(), commands);
      Perform(commands);
    });
  }
}

BundleUpdater::~BundleUpdater() {
  m_loop.Cancel(m_tick);
}

void BundleUpdater::Start() {
  Tick();
}

void BundleUpdater::Tick() {
  m_tick = m_loop.Schedule(kBundleReplicatorTickInterval, [this] { Tick(); });
  UpdatePeers();
  BundleReplicatorCommands commands;
  m_replicator.Tick(m_clock.Now(), commands);
  Perform(commands);
}

void BundleUpdater::UpdatePeers() {
  const Membership* membership = m_network.membership();
  if (membership == nullptr) {
    return;
  }
  // NOTE: One is added so that the value differs from the initial 0. The first
  // view, which contains at least this node, is thus always applied.
  const uint64_t generation = membership->view_generation() + 1;
  if (generation == m_view_generation) {
    return;
  }
  m_view_generation = generation;
  ReplicationPeers peers{.local = membership->table().live(),
                         .watchers = membership->gateways(),
                         .remote = membership->RemoteGateways(m_clock.Now())};
  peers.total_watchers = peers.watchers.size() + peers.remote.size();
  m_replicator.SetPeers(peers);
}

StorePort::Callback BundleUpdater::ResultCallback(uint64_t call) {
  return [this, call](const StoreResult& result) {
    if (result.status != StoreStatus::kOk) {
      LogEvent(daemon_log::kStoreFailed, {{"operation", "watch"}});
    }
    BundleReplicatorCommands commands;
    m_replicator.OnStoreAnswer(call, result, m_clock.Now(), commands);
    Perform(commands);
  };
}

void BundleUpdater::Perform(const BundleReplicatorCommands& commands) {
  for (const BundleReplicatorCommand& command : commands) {
    if (const auto* send = std::get_if<SendBundleMessage>(&command)) {
      Send(*send);
    } else if (const auto* watch = std::get_if<WatchBundle>(&command)) {
      m_store.Watch(kBundleStoreKey, watch->after, kBundleWatchWait,
                    ResultCallback(watch->call));
    } else if (const auto* read = std::get_if<ReadBundleSnapshot>(&command)) {
      m_store.Get(read->key, ResultCallback(read->call));
    } else if (const auto* put = std::get_if<ActivateBundle>(&command)) {
      Activate(*put);
    } else if (const auto* refuse = std::get_if<RejectBundle>(&command)) {
      m_audit.Record({.actor = m_network.self().value(),
                      .subject = "bundle",
                      .action = "refused",
                      .reason = refuse->reason,
                      .before = std::to_string(m_active_bundle.version())});
      LogEvent(daemon_log::kBundleRefused,
               {{"reason", refuse->reason},
                {"source", BundleSourceName(refuse->source)}});
    }
  }
}

void BundleUpdater::Send(const SendBundleMessage& message) {
  if (message.payload.size() <= kMaximumDatagramPayload) {
    m_network.Send(message.to, message.kind, message.payload);
    return;
  }
  // NOTE: The delivery result is ignored because a later offer recovers a lost
  // message.
  m_network.SendAcknowledged(message.to, message.kind, message.payload,
                             [](bool) {});
}

void BundleUpdater::Activate(const ActivateBundle& command) {
  const BundleVersion before = m_active_bundle.version();
  if (!m_active_bundle.Replace(command.bundle, command.envelope)) {
    return;
  }
  m_metrics.SetBundleVersion(command.bundle->version);
  std::string signers;
  for (const BundleSignature& signature : command.envelope->signatures) {
    signers += (signers.empty() ? "" : ",") + signature.key.value();
  }
  m_audit.Record({.actor = signers,
                  .subject = "bundle",
                  .action = "in_force",
                  .reason = BundleSourceName(command.source),
                  .before = std::to_string(before),
                  .after = std::to_string(command.bundle->version)});
  LogEvent(daemon_log::kBundleInForce,
           {{"version", std::to_string(command.bundle->version)},
            {"source", BundleSourceName(command.source)}});
}

}  // namespace pistachiowalk
