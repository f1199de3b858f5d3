#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/text_delta.h"
#include "following/prefix_changes.h"
#include "store/prefix_store.h"
#include "store/store_position.h"

namespace pistachiowalk {

// Values of at least this size are transferred as edits where possible.
constexpr size_t kLongValueBytes = 4096;

// The recent past of a prefix, within one history of the store: which keys were
// removed, and how long values were edited. Its size is bounded.
class ItemHistory {
 public:
  // Forgets everything. Removals after `as_of` are recorded from now on.
  void Restart(StorePosition as_of);
  // `key` was removed at or before `as_of`.
  void RecordRemoval(const std::string& key, StorePosition as_of);
  // A value was replaced by another; records the edits if both are long.
  void RecordEdit(const StoreItem& before, const StoreItem& after);

  // The keys removed after `position`, with the latest revision at which each
  // may have been removed. nullopt if that is no longer known.
  std::optional<std::vector<KeyRevision>> RemovedSince(
      StorePosition position) const;
  // The edits that build the value of `key` at `to` from that at `from`, in
  // order. Empty if they are not known.
  std::vector<TextDelta> EditsBetween(const std::string& key,
                                      StoreRevision from,
                                      StoreRevision to) const;

 private:
  struct Edit {
    StoreRevision from = 0;
    StoreRevision to = 0;
    TextDelta delta;
  };
  struct EditChain {
    std::deque<Edit> edits;
    size_t bytes = 0;
  };

  StorePosition m_complete_since;
  std::deque<KeyRevision> m_removals;
  // The edits of a key follow each other without a gap.
  std::map<std::string, EditChain> m_chains;
};

}  // namespace pistachiowalk
