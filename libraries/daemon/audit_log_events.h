#pragma once

#include "base/event_log.h"

// Events 5500 to 5999 of docs/EVENTS.md.
namespace pistachiowalk::audit_log {

inline constexpr LogEventKind kRecorded{5501, "audit.recorded",
                                        LogLevel::kInfo};

}  // namespace pistachiowalk::audit_log
