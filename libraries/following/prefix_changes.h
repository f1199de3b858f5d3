#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/text_delta.h"
#include "store/prefix_store.h"
#include "store/store_position.h"

namespace pistachiowalk {

// A key without its value: the revision at which it has its value, or up to
// which it is known to have been removed.
struct KeyRevision {
  std::string key;
  StoreRevision revision = 0;

  friend auto operator<=>(const KeyRevision&, const KeyRevision&) = default;
};

// An item given by the edits of its earlier value, in order.
struct EditedItem {
  std::string key;
  StoreRevision base_revision = 0;
  StoreRevision revision = 0;
  // Hash of the resulting value.
  uint64_t hash = 0;
  std::vector<TextDelta> edits;

  friend auto operator<=>(const EditedItem&, const EditedItem&) = default;
};

// Asks a peer for the changes that a follower of its prefix lacks.
struct PrefixChangesRequest {
  // All changes up to this position are known.
  StorePosition as_of;
  // The long values that are known, which may be given by their edits.
  std::vector<KeyRevision> long_values;

  friend auto operator<=>(const PrefixChangesRequest&,
                          const PrefixChangesRequest&) = default;
};

// The state of a prefix as the changes since a position, or as a whole.
struct PrefixChanges {
  // nullopt if `items` are all items of the prefix.
  std::optional<StorePosition> since;
  StorePosition as_of;
  // Of the same history as `as_of`.
  StorePosition newest_change;
  std::vector<StoreItem> items;
  std::vector<EditedItem> edited;
  std::vector<KeyRevision> removed;

  friend auto operator<=>(const PrefixChanges&, const PrefixChanges&) = default;
};

}  // namespace pistachiowalk
