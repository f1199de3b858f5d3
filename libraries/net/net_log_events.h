#pragma once

#include "base/event_log.h"

// Events 1900 to 1999 of docs/EVENTS.md.
namespace pistachiowalk::net_log {

inline constexpr LogEventKind kTaskFailed{1902, "loop.task_failed",
                                          LogLevel::kError};

}  // namespace pistachiowalk::net_log
