#include "bundle/accepted_bundle.h"

#include <memory>
#include <utility>

#include "bundle/bundle_parser.h"
#include "bundle/bundle_roll.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

BundleVersion ParseVersion(const std::string& text) {
  const BundleParseOutcome outcome = ParseBundle(text);
  return outcome.bundle ? outcome.bundle->version : BundleVersion{0};
}

// Parses the stored value without its snapshot.
AcceptedBundle ParseStoreValue(const StoreResult& result) {
  AcceptedBundle accepted{.status = result.status,
                          .revision = result.revision,
                          .value = result.value};
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(accepted.stored, ParseStoredBundle(result.value));
        accepted.version = accepted.stored.version;
        if (accepted.stored.chain.empty()) {
          accepted.text = accepted.stored.text;
          accepted.version = ParseVersion(accepted.stored.text);
        }
        return {};
      },
      [] {});
  return accepted;
}

}  // namespace

void ReadAcceptedBundle(StorePort& store,
                        std::function<void(const AcceptedBundle&)> callback) {
  store.Get(kBundleStoreKey, [&store, callback = std::move(callback)](
                                 const StoreResult& result) {
    const auto accepted =
        std::make_shared<AcceptedBundle>(ParseStoreValue(result));
    if (result.status != StoreStatus::kOk || accepted->stored.chain.empty()) {
      callback(*accepted);
      return;
    }
    store.Get(accepted->stored.snapshot_key,
              [accepted, callback](const StoreResult& snapshot) {
                // NOTE: If the snapshot cannot be read, only the text is
                // missing; the version and the stored value are known.
                if (snapshot.status == StoreStatus::kOk) {
                  accepted->text =
                      ApplyChain(snapshot.value, TextHash(snapshot.value),
                                 accepted->stored.chain);
                }
                callback(*accepted);
              });
  });
}

}  // namespace pistachiowalk
