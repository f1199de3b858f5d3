#pragma once

#include <compare>
#include <string>

#include "store/store_port.h"

namespace pistachiowalk {

// A state of the store. A store that was restored from a copy gives out
// revisions again for other changes, so revisions compare only within one
// history; a later history comes after all of an earlier one.
struct StorePosition {
  StoreHistory history = 0;
  StoreRevision revision = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// "revision" if the store names no history, otherwise "history:revision".
std::string FormatStorePosition(StorePosition position);

}  // namespace pistachiowalk
