#pragma once

#include <string>

namespace pistachiowalk {

// The answer of a plain service. It is recorded, so that a retry of an action
// gets the same answer.
struct ActionReply {
  int status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const ActionReply&, const ActionReply&) = default;
};

}  // namespace pistachiowalk
