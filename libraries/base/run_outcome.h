#pragma once

#include <string_view>

namespace pistachiowalk {

// Whether a request was run, as reported to the client.
enum class RunOutcome {
  kRan,
  // The request was not dispatched and never will be.
  kNotRun,
  kUnknown,
};

// The spelling used in problem documents: "ran", "not-run" or "unknown".
constexpr std::string_view RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kRan:
      return "ran";
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace pistachiowalk
