#pragma once

#include "base/event_log.h"

// Events 2200 to 2299 of docs/EVENTS.md: claims of actions.
namespace pistachiowalk::request_log {

inline constexpr LogEventKind kClaimSettled{2201, "claim.settled",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kClaimReleased{2202, "claim.released",
                                             LogLevel::kInfo};

}  // namespace pistachiowalk::request_log
