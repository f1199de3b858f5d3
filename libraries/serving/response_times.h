#pragma once

#include <array>
#include <cstddef>

#include "base/clock.h"

namespace pistachiowalk {

// How long the latest complete responses of one route took at their endpoints.
// The kinds of work of a deployment last from milliseconds to many seconds, so
// a node that stops cannot tell from the time alone what it can still complete.
class ResponseTimes {
 public:
  void Add(Duration time);
  // Returns a time within which nine in ten of them were complete, or
  // `without_samples` if there are too few.
  Duration Expected(Duration without_samples) const;

 private:
  static constexpr size_t kSamples = 64;

  // A ring of the latest samples, in milliseconds.
  std::array<float, kSamples> m_samples{};
  size_t m_count = 0;
};

}  // namespace pistachiowalk
