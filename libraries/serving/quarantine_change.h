#pragma once

#include <cstdint>
#include <vector>

#include "serving/prompt_part.h"

namespace pistachiowalk {

// A quarantine that came into force or was lifted, with its evidence.
struct QuarantineChange {
  std::vector<PromptPartId> parts;
  bool is_in_force = false;
  // The crashes in which all of the parts were involved, as known here.
  uint32_t crashes = 0;
  uint32_t workers = 0;
  uint32_t probes = 0;
  // Decided by another node.
  bool is_from_peer = false;

  friend auto operator<=>(const QuarantineChange&,
                          const QuarantineChange&) = default;
};

}  // namespace pistachiowalk
