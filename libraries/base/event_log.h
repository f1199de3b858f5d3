#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured logging: every line is a numbered event of docs/EVENTS.md.
namespace pistachiowalk {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// An entry of the event catalogue. Each library declares its own in a header
// named <concern>_log_events.h.
struct LogEventKind {
  uint16_t number;
  std::string_view name;
  LogLevel level;
};

// One key of a log line; the value is quoted when it holds blanks.
struct LogField {
  std::string_view key;
  std::string value;
};

// Sets the lowest level that is written to standard error.
void InitializeLogging(LogLevel lowest_level);

// Sets the lowest level that is written to standard output without ever
// blocking: lines wait in a bounded buffer until FlushLog(), and what does not
// fit is dropped and counted, informational lines first.
void InitializeBoundedLogging(LogLevel lowest_level);

// Writes what is buffered, as far as the output takes it now. With bounded
// logging only.
void FlushLog();

// Lines dropped since the start.
uint64_t DroppedLogLines();

// Writes `PW<number> <name> key=value ...`.
void LogEvent(const LogEventKind& kind, std::initializer_list<LogField> fields);

// The text of a log line, without time and level.
std::string FormatLogLine(const LogEventKind& kind,
                          std::initializer_list<LogField> fields);

}  // namespace pistachiowalk
