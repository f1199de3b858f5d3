#include "store/store_position.h"

#include <fmt/format.h>

namespace pistachiowalk {

std::string FormatStorePosition(StorePosition position) {
  return position.history == 0
             ? std::to_string(position.revision)
             : fmt::format("{}:{}", position.history, position.revision);
}

}  // namespace pistachiowalk
