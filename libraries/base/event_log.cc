#include "base/event_log.h"

#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>

#include "base/bounded_output_sink.h"

namespace pistachiowalk {
namespace {

spdlog::level::level_enum ToSpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\n\r\t") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
  }
  return quoted + '"';
}

std::shared_ptr<BoundedOutputSink>& BoundedSink() {
  static std::shared_ptr<BoundedOutputSink> sink;
  return sink;
}

}  // namespace

void InitializeLogging(LogLevel lowest_level) {
  auto logger = spdlog::stderr_logger_st("pistachiowalk");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlogLevel(lowest_level));
  spdlog::set_default_logger(std::move(logger));
}

void InitializeBoundedLogging(LogLevel lowest_level) {
  auto sink = std::make_shared<BoundedOutputSink>(STDOUT_FILENO);
  auto logger = std::make_shared<spdlog::logger>("pistachiowalk", sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlogLevel(lowest_level));
  spdlog::set_default_logger(std::move(logger));
  BoundedSink() = std::move(sink);
}

void FlushLog() {
  if (BoundedSink()) {
    BoundedSink()->flush();
  }
}

uint64_t DroppedLogLines() {
  return BoundedSink() ? BoundedSink()->dropped() : 0;
}

std::string FormatLogLine(const LogEventKind& kind,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("PW{:04} {}", kind.number, kind.name);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.key, QuoteIfNeeded(field.value));
  }
  return line;
}

void LogEvent(const LogEventKind& kind,
              std::initializer_list<LogField> fields) {
  const auto level = ToSpdlogLevel(kind.level);
  if (!spdlog::should_log(level)) {
    return;
  }
  spdlog::log(level, "{}", FormatLogLine(kind, fields));
}

}  // namespace pistachiowalk
