#pragma once

#include "base/event_log.h"

// Events 1000 to 1999 of docs/EVENTS.md.
namespace pistachiowalk::daemon_log {

inline constexpr LogEventKind kStarted{1001, "daemon.started", LogLevel::kInfo};
inline constexpr LogEventKind kStopRequested{1002, "daemon.stop_requested",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kStopped{1003, "daemon.stopped", LogLevel::kInfo};
inline constexpr LogEventKind kStopForced{1004, "daemon.stop_forced",
                                          LogLevel::kWarning};
inline constexpr LogEventKind kRequestAccepted{2001, "request.accepted",
                                               LogLevel::kInfo};
inline constexpr LogEventKind kRequestEnded{2002, "request.ended",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kRequestRefused{2003, "request.refused",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kAttemptStarted{2101, "attempt.started",
                                              LogLevel::kDebug};
inline constexpr LogEventKind kAttemptFailed{2102, "attempt.failed",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kRequestResumed{2103, "request.resumed",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kStreamHandedOver{2104, "stream.handed_over",
                                                LogLevel::kInfo};
inline constexpr LogEventKind kStreamTakenOver{2105, "stream.taken_over",
                                               LogLevel::kInfo};
inline constexpr LogEventKind kCallerReturned{2106, "caller.returned",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kEndpointLeaving{3001, "endpoint.leaving",
                                               LogLevel::kInfo};
inline constexpr LogEventKind kVmListFailed{3002, "vm_list.failed",
                                            LogLevel::kWarning};
inline constexpr LogEventKind kBundleInForce{4001, "bundle.in_force",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kBundleRefused{4002, "bundle.refused",
                                             LogLevel::kError};
inline constexpr LogEventKind kStoreFailed{5001, "store.failed",
                                           LogLevel::kWarning};

}  // namespace pistachiowalk::daemon_log
