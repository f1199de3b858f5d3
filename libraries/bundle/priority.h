#pragma once

#include <cstdint>
#include <string_view>

namespace pistachiowalk {

// Priority of a service's requests. Lower values are served first.
enum class Priority : uint8_t { kCritical, kInteractive, kStandard, kBatch };

constexpr std::string_view PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kCritical:
      return "critical";
    case Priority::kInteractive:
      return "interactive";
    case Priority::kStandard:
      return "standard";
    case Priority::kBatch:
      return "batch";
  }
  return "standard";
}

}  // namespace pistachiowalk
