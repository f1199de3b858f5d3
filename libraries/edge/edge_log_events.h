#pragma once

#include "base/event_log.h"

// Events 2200 to 2299 of docs/EVENTS.md.
namespace pistachiowalk::edge_log {

inline constexpr LogEventKind kPlaced{2201, "request.placed", LogLevel::kInfo};
inline constexpr LogEventKind kAttemptEnded{2202, "attempt.ended",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kLimitReached{2204, "limit.reached",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kForwardedEnded{2203, "forwarded.ended",
                                              LogLevel::kInfo};

inline constexpr LogEventKind kWorkerCrashed{2205, "worker.crashed",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kPromptProbed{2206, "prompt.probed",
                                            LogLevel::kWarning};

inline constexpr LogEventKind kWorkerLimit{2207, "worker.limit",
                                           LogLevel::kInfo};

inline constexpr LogEventKind kStreamTakenUp{2210, "stream.taken_up",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kWorkerLeaving{2208, "worker.leaving",
                                             LogLevel::kInfo};

inline constexpr LogEventKind kWorkerPaused{2209, "worker.paused",
                                            LogLevel::kInfo};

}  // namespace pistachiowalk::edge_log
