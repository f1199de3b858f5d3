#pragma once

namespace pistachiowalk {

// Exit codes of pistachioctl, as `pistachioctl --help` lists them.
enum class ExitCode : int {
  kSuccess = 0,
  // The operation failed and changed nothing.
  kFailed = 1,
  kUsage = 2,
  // Another operator rolled a bundle first.
  kLostRace = 3,
  // The operation may have taken effect.
  kUnknown = 4,
};

}  // namespace pistachiowalk
