#pragma once

#include <functional>
#include <optional>

#include "bundle/stored_bundle.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Result of reading the accepted bundle from the store.
struct AcceptedBundle {
  StoreStatus status = StoreStatus::kUnavailable;
  StoreRevision revision = 0;
  // The raw stored value.
  std::string value;
  StoredBundle stored;
  // The complete text; nullopt if it does not exist or cannot be reconstructed.
  std::optional<std::string> text;
  // 0 if the key does not exist or its value is not a valid bundle.
  BundleVersion version = 0;

  friend auto operator<=>(const AcceptedBundle&,
                          const AcceptedBundle&) = default;
};

// Reads the accepted bundle, and its snapshot if it refers to one.
void ReadAcceptedBundle(StorePort& store,
                        std::function<void(const AcceptedBundle&)> callback);

}  // namespace pistachiowalk
