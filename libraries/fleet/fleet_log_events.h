#pragma once

#include "base/event_log.h"

// Events 6000 to 6999 of docs/EVENTS.md.
namespace pistachiowalk::fleet_log {

inline constexpr LogEventKind kLeaseGranted{6001, "lease.granted",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kLeaseLost{6002, "lease.lost",
                                         LogLevel::kWarning};
inline constexpr LogEventKind kLeaseLapsed{6003, "lease.lapsed",
                                           LogLevel::kWarning};
inline constexpr LogEventKind kLeaseRecovered{6004, "lease.recovered",
                                              LogLevel::kInfo};

}  // namespace pistachiowalk::fleet_log
