#pragma once

#include <string>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "bundle/bundle_replicator.h"
#include "bundle/signed_bundle.h"
#include "daemon/active_bundle.h"
#include "net/event_loop.h"
#include "store/store_port.h"

namespace pistachiowalk {

class Metrics;
class NodeNetwork;

// Runs the BundleReplicator core: sends its messages, makes its calls to the
// platform's store, and puts the bundles that it accepts in force.
class BundleUpdater {
 public:
  BundleUpdater(EventLoop& loop,
                const Clock& clock,
                StorePort& store,
                NodeNetwork& network,
                SignaturePolicy policy,
                ActiveBundle& active_bundle,
                Metrics& metrics,
                AuditSink& audit);
  ~BundleUpdater();
  BundleUpdater(const BundleUpdater&) = delete;
  BundleUpdater& operator=(const BundleUpdater&) = delete;

  void Start();
  const BundleReplicator& replicator() const { return m_replicator; }

 private:
  void Tick();
  void UpdatePeers();
  void Perform(const BundleReplicatorCommands& commands);
  void Send(const SendBundleMessage& message);
  void Activate(const ActivateBundle& command);
  StorePort::Callback ResultCallback(uint64_t call);

  EventLoop& m_loop;
  const Clock& m_clock;
  StorePort& m_store;
  NodeNetwork& m_network;
  ActiveBundle& m_active_bundle;
  Metrics& m_metrics;
  AuditSink& m_audit;
  BundleReplicator m_replicator;
  uint64_t m_view_generation = 0;
  TimerId m_tick = 0;
};

}  // namespace pistachiowalk
