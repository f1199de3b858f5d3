#pragma once

namespace pistachiowalk {

// The limit that an endpoint names in a response for the requests of all nodes
// together, if any.
struct NamedRateLimit {
  enum class State {
    kNone,
    kNamed,
    // It names one that cannot be read, so a former one still holds.
    kUnreadable,
  };

  State state = State::kNone;
  // Zero or more.
  double requests_per_second = 0.0;

  friend auto operator<=>(const NamedRateLimit&,
                          const NamedRateLimit&) = default;
};

}  // namespace pistachiowalk
