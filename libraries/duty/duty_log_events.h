#pragma once

#include "base/event_log.h"

// Events 6100 to 6199 of docs/EVENTS.md.
namespace pistachiowalk::duty_log {

inline constexpr LogEventKind kUsageFixed{6101, "usage.fixed", LogLevel::kInfo};
inline constexpr LogEventKind kUsageReported{6102, "usage.reported",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kUsageFailed{6103, "usage.failed",
                                           LogLevel::kWarning};
inline constexpr LogEventKind kUsageAbandoned{6105, "usage.abandoned",
                                              LogLevel::kWarning};
inline constexpr LogEventKind kWorkersOrdered{6110, "workers.ordered",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kOrderFailed{6111, "workers.order_failed",
                                           LogLevel::kWarning};
inline constexpr LogEventKind kDutySuperseded{6120, "duty.superseded",
                                              LogLevel::kWarning};
inline constexpr LogEventKind kDutyLease{6121, "duty.lease", LogLevel::kInfo};

inline constexpr LogEventKind kUsageRecordUnknown{6104, "usage.record_unknown",
                                                  LogLevel::kWarning};
inline constexpr LogEventKind kQuarantineUnreadable{
    6131, "quarantine.record_unreadable", LogLevel::kWarning};
inline constexpr LogEventKind kVersionsUnreadable{
    6133, "versions.record_unreadable", LogLevel::kWarning};
inline constexpr LogEventKind kStreamsUnreadable{
    6134, "streams.record_unreadable", LogLevel::kWarning};
inline constexpr LogEventKind kRolloutUnreadable{
    6135, "rollout.record_unreadable", LogLevel::kWarning};
inline constexpr LogEventKind kLimitsTrimmed{6132, "limits.trimmed",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kLimitsUnknown{6130, "limits.unknown",
                                             LogLevel::kWarning};

}  // namespace pistachiowalk::duty_log
