#pragma once

#include "base/event_log.h"

// Events 4500 to 4999 of docs/EVENTS.md.
namespace pistachiowalk::membership_log {

inline constexpr LogEventKind kListening{4501, "membership.listening",
                                         LogLevel::kInfo};
inline constexpr LogEventKind kMemberChanged{4502, "membership.member_changed",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kLeaveTold{4503, "membership.leave_told",
                                         LogLevel::kInfo};
inline constexpr LogEventKind kMessagesRefused{
    4504, "membership.messages_refused", LogLevel::kWarning};

}  // namespace pistachiowalk::membership_log
