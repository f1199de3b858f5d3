#pragma once

#include "base/event_log.h"

// Events 3100 to 3199 of docs/EVENTS.md.
namespace pistachiowalk::following_log {

inline constexpr LogEventKind kStoreLost{3101, "store.lost",
                                         LogLevel::kWarning};
inline constexpr LogEventKind kStoreBack{3102, "store.back", LogLevel::kInfo};
inline constexpr LogEventKind kHistoryLost{3103, "store.history_lost",
                                           LogLevel::kWarning};
inline constexpr LogEventKind kRelayed{3104, "store.relayed", LogLevel::kInfo};
inline constexpr LogEventKind kListingBehind{3105, "store.listing_behind",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kListed{3106, "store.listed", LogLevel::kInfo};
inline constexpr LogEventKind kEndpointChanged{3110, "endpoint.changed",
                                               LogLevel::kInfo};
inline constexpr LogEventKind kEndpointGone{3111, "endpoint.gone",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kEndpointMissing{3112, "endpoint.missing",
                                               LogLevel::kWarning};
inline constexpr LogEventKind kEndpointOutdated{3113, "endpoint.outdated",
                                                LogLevel::kWarning};
inline constexpr LogEventKind kPeerHeard{3120, "peer.heard", LogLevel::kInfo};
inline constexpr LogEventKind kPeerSilent{3121, "peer.silent",
                                          LogLevel::kWarning};
inline constexpr LogEventKind kDataCenterHeard{3122, "data_center.heard",
                                               LogLevel::kInfo};
inline constexpr LogEventKind kDataCenterSilent{3123, "data_center.silent",
                                                LogLevel::kWarning};
inline constexpr LogEventKind kEndpointRetained{3114, "endpoint.retained",
                                                LogLevel::kWarning};
inline constexpr LogEventKind kClockCorrected{3130, "clock.corrected",
                                              LogLevel::kWarning};

}  // namespace pistachiowalk::following_log
