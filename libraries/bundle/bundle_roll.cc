#include "bundle/bundle_roll.h"

#include <memory>
#include <utility>

#include "bundle/accepted_bundle.h"
#include "bundle/roll_plan.h"

namespace pistachiowalk {
namespace {

// A roll in progress; kept alive by its pending store calls.
class Roll : public std::enable_shared_from_this<Roll> {
 public:
  Roll(StorePort& store,
       BundleVersion version,
       SignedBundle bundle,
       std::function<void(const RollOutcome&)> callback)
      : m_store(store),
        m_version(version),
        m_bundle(std::move(bundle)),
        m_callback(std::move(callback)) {}

  void Start() {
    ReadAcceptedBundle(
        m_store, [self = shared_from_this()](const AcceptedBundle& accepted) {
          self->OnCurrentBundle(accepted);
        });
  }

 private:
  void OnCurrentBundle(const AcceptedBundle& accepted) {
    if (accepted.status != StoreStatus::kOk) {
      m_callback({RollStatus::kUnavailable, 0});
      return;
    }
    const bool is_same = accepted.version == m_version &&
                         accepted.text == m_bundle.text &&
                         accepted.stored.signatures == m_bundle.signatures;
    if (is_same) {
      m_callback({RollStatus::kAccepted, m_version});
      return;
    }
    if (accepted.version >= m_version) {
      m_callback({RollStatus::kLostRace, accepted.version});
      return;
    }
    m_expected = accepted.revision;
    const RollPlan plan =
        PlanRoll(accepted.stored, accepted.text, m_version, m_bundle);
    m_value = SerializeStoredBundle(plan.next);
    if (plan.snapshot) {
      WriteSnapshot(*plan.snapshot);
    } else {
      WriteBundle();
    }
  }

  // NOTE: A concurrent roll based on the same bundle writes the same snapshot,
  // so a conflict is resolved by the subsequent write of the bundle.
  void WriteSnapshot(const RollPlan::Snapshot& snapshot) {
    m_store.Get(snapshot.key, [self = shared_from_this(),
                               snapshot](const StoreResult& result) {
      if (result.status != StoreStatus::kOk) {
        self->m_callback({RollStatus::kUnavailable, 0});
      } else if (result.value == snapshot.text) {
        self->WriteBundle();
      } else {
        self->m_store.CompareAndSwap(
            snapshot.key, result.revision, snapshot.text,
            [self, text = snapshot.text](const StoreResult& written) {
              self->OnSnapshotWritten(written, text);
            });
      }
    });
  }

  void OnSnapshotWritten(const StoreResult& result, const std::string& text) {
    const bool is_stored =
        result.status == StoreStatus::kOk ||
        (result.status == StoreStatus::kConflict && result.value == text);
    if (is_stored) {
      WriteBundle();
    } else {
      // The bundle itself has not been written, so the accepted one is
      // unchanged.
      m_callback({RollStatus::kUnavailable, 0});
    }
  }

  void WriteBundle() {
    m_store.CompareAndSwap(
        kBundleStoreKey, m_expected, m_value,
        [self = shared_from_this()](const StoreResult& result) {
          self->OnWritten(result);
        });
  }

  void OnWritten(const StoreResult& result) {
    switch (result.status) {
      case StoreStatus::kOk:
        m_callback({RollStatus::kAccepted, m_version});
        return;
      case StoreStatus::kUnavailable:
        m_callback({RollStatus::kUnavailable, 0});
        return;
      case StoreStatus::kConflict:
        ReadBack(RollStatus::kUnavailable);
        return;
      case StoreStatus::kUnknown:
        ReadBack(RollStatus::kUnknown);
        return;
    }
  }

  // Determines the outcome by reading the stored bundle; reports
  // `fallback_status` if the read fails.
  void ReadBack(RollStatus fallback_status) {
    ReadAcceptedBundle(m_store, [self = shared_from_this(), fallback_status](
                                    const AcceptedBundle& accepted) {
      if (accepted.status != StoreStatus::kOk) {
        self->m_callback({fallback_status, 0});
        return;
      }
      const RollStatus status = accepted.value == self->m_value
                                    ? RollStatus::kAccepted
                                    : RollStatus::kLostRace;
      self->m_callback({status, accepted.version});
    });
  }

  StorePort& m_store;
  BundleVersion m_version;
  SignedBundle m_bundle;
  std::function<void(const RollOutcome&)> m_callback;
  StoreRevision m_expected = 0;
  std::string m_value;
};

}  // namespace

void RollBundle(StorePort& store,
                BundleVersion version,
                const SignedBundle& bundle,
                std::function<void(const RollOutcome&)> callback) {
  std::make_shared<Roll>(store, version, bundle, std::move(callback))->Start();
}

}  // namespace pistachiowalk
