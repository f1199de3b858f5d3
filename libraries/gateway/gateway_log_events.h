#pragma once

#include "base/event_log.h"

// Events 1100 to 1199 of docs/EVENTS.md.
namespace pistachiowalk::gateway_log {

inline constexpr LogEventKind kStarted{1101, "gateway.started",
                                       LogLevel::kInfo};
inline constexpr LogEventKind kReady{1102, "gateway.ready", LogLevel::kInfo};
inline constexpr LogEventKind kStopRequested{1103, "gateway.stop_requested",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kStopped{1104, "gateway.stopped",
                                       LogLevel::kInfo};
inline constexpr LogEventKind kReloaded{1105, "gateway.reloaded",
                                        LogLevel::kInfo};
inline constexpr LogEventKind kReloadRefused{1106, "gateway.reload_refused",
                                             LogLevel::kError};
inline constexpr LogEventKind kRequestsEnded{1107, "gateway.requests_ended",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kConfigInForce{1110, "config.in_force",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kConfigRefused{1111, "config.refused",
                                             LogLevel::kError};
inline constexpr LogEventKind kEntryRefused{1112, "endpoint.entry_refused",
                                            LogLevel::kWarning};
inline constexpr LogEventKind kDigestRefused{1113, "digest.refused",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kRelayFailed{1114, "relay.failed",
                                           LogLevel::kWarning};
inline constexpr LogEventKind kAnnounceFailed{1115, "node.announce_failed",
                                              LogLevel::kWarning};

inline constexpr LogEventKind kStoreHistoryChanged{
    1116, "store.history_changed", LogLevel::kWarning};
inline constexpr LogEventKind kDigestTrimmed{1117, "digest.trimmed",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kRelayFetched{1118, "relay.fetched",
                                            LogLevel::kInfo};
inline constexpr LogEventKind kPromptQuarantined{1120, "prompt.quarantined",
                                                 LogLevel::kWarning};
inline constexpr LogEventKind kPromptReleased{1121, "prompt.released",
                                              LogLevel::kWarning};
inline constexpr LogEventKind kWorkerLimitHeard{1122, "worker.limit_heard",
                                                LogLevel::kInfo};
inline constexpr LogEventKind kEndpointCapacity{1125, "endpoint.capacity",
                                                LogLevel::kInfo};
inline constexpr LogEventKind kConfigLate{1123, "config.late",
                                          LogLevel::kWarning};
inline constexpr LogEventKind kConfigCaughtUp{1124, "config.caught_up",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kListUnconfirmed{1140, "endpoints.unconfirmed",
                                               LogLevel::kWarning};
inline constexpr LogEventKind kListConfirmed{1141, "endpoints.confirmed",
                                             LogLevel::kInfo};
inline constexpr LogEventKind kListStoreAway{1142, "endpoints.store_away",
                                             LogLevel::kWarning};
inline constexpr LogEventKind kCompetition{1143, "customers.compete",
                                           LogLevel::kInfo};
inline constexpr LogEventKind kCompetitionEnded{
    1144, "customers.compete_no_longer", LogLevel::kInfo};

inline constexpr LogEventKind kRequestsNotReceived{
    1145, "requests.not_received", LogLevel::kWarning};
inline constexpr LogEventKind kConnectionClosed{1146, "connection.closed",
                                                LogLevel::kInfo};
inline constexpr LogEventKind kResponsesUnread{1147, "responses.unread",
                                               LogLevel::kWarning};
inline constexpr LogEventKind kRolloutOrdered{1130, "rollout.ordered",
                                              LogLevel::kInfo};
inline constexpr LogEventKind kRolloutOrderRefused{
    1131, "rollout.order_refused", LogLevel::kError};
inline constexpr LogEventKind kRolloutWithdrawn{1132, "rollout.withdrawn",
                                                LogLevel::kInfo};
inline constexpr LogEventKind kRolloutDecided{1133, "rollout.decided",
                                              LogLevel::kWarning};
inline constexpr LogEventKind kRolloutState{1134, "rollout.state",
                                            LogLevel::kInfo};

}  // namespace pistachiowalk::gateway_log
