#pragma once

#include <array>
#include <cstddef>

#include "base/clock.h"

namespace pistachiowalk {

// How long the latest complete responses of one route took, from the time at
// which the node had read the request.
//
// This covers routes whose work lasts from milliseconds to many seconds, of
// which a node that stops can still complete some.
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
