#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured logging: each line is a numbered event listed in docs/EVENTS.md.
namespace pistachiowalk {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// An entry of the event catalogue. Each library declares its entries in a
// header named <concern>_log_events.h.
struct LogEventKind {
  uint16_t number;
  std::string_view name;
  LogLevel level;
};

// One field of a log line; the value is quoted if it contains whitespace.
struct LogField {
  std::string_view key;
  std::string value;
};

// Logs events of `lowest_level` and above to standard error.
void InitializeLogging(LogLevel lowest_level);

// Logs events of `lowest_level` and above to standard output, never blocking:
// lines wait in a bounded buffer, and lines that do not fit are dropped and
// counted; those below warning level are dropped first.
void InitializeBoundedLogging(LogLevel lowest_level);

// Writes as much of the buffer as the output accepts now. Has an effect only
// with bounded logging.
void FlushLog();

// Number of lines dropped since the start.
uint64_t DroppedLogLines();

// Logs a line `PW<number> <name> key=value ...`.
void LogEvent(const LogEventKind& kind, std::initializer_list<LogField> fields);

// Formats a log line without the time and level.
std::string FormatLogLine(const LogEventKind& kind,
                          std::initializer_list<LogField> fields);

}  // namespace pistachiowalk
