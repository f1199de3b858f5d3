#include "bundle/bundle_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pistachiowalk {
namespace {

constexpr uint64_t kMaximumMilliseconds = 24ULL * 3600 * 1000;
constexpr size_t kKeyHashHexDigits = 64;

template <class Number>
bool ParseNumber(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

void AddFault(const IniEntry& entry,
              std::string message,
              BundleFaults& faults) {
  faults.push_back(
      BundleFault{.where = fmt::format("[{}].{}", entry.section, entry.name),
                  .message = std::move(message),
                  .line = entry.line});
}

void ReadNumber(const IniEntry& entry,
                double minimum,
                double maximum,
                double& target,
                BundleFaults& faults) {
  double number = 0;
  if (!ParseNumber(entry.value, number) || !std::isfinite(number) ||
      number < minimum || number > maximum) {
    AddFault(entry,
             fmt::format("\"{}\" is not a number from {} to {}", entry.value,
                         minimum, maximum),
             faults);
    return;
  }
  target = number;
}

void ReadCount(const IniEntry& entry,
               uint64_t minimum,
               uint64_t maximum,
               uint64_t& target,
               BundleFaults& faults) {
  uint64_t number = 0;
  if (!ParseNumber(entry.value, number) || number < minimum ||
      number > maximum) {
    AddFault(entry,
             fmt::format("\"{}\" is not a whole number from {} to {}",
                         entry.value, minimum, maximum),
             faults);
    return;
  }
  target = number;
}

void ReadMilliseconds(const IniEntry& entry,
                      std::chrono::milliseconds& target,
                      BundleFaults& faults) {
  uint64_t number = static_cast<uint64_t>(target.count());
  ReadCount(entry, 1, kMaximumMilliseconds, number, faults);
  target = std::chrono::milliseconds(number);
}

void ReadBool(const IniEntry& entry, bool& target, BundleFaults& faults) {
  if (entry.value != "true" && entry.value != "false") {
    AddFault(entry, fmt::format("\"{}\" is not true or false", entry.value),
             faults);
    return;
  }
  target = entry.value == "true";
}

void ReadPriority(const IniEntry& entry,
                  Priority& target,
                  BundleFaults& faults) {
  for (const Priority priority : {Priority::kCritical, Priority::kInteractive,
                                  Priority::kStandard, Priority::kBatch}) {
    if (entry.value == PriorityName(priority)) {
      target = priority;
      return;
    }
  }
  AddFault(entry,
           fmt::format("\"{}\" is not a priority; use critical, interactive, "
                       "standard or batch",
                       entry.value),
           faults);
}

void ReadServiceKind(const IniEntry& entry,
                     ServiceKind& target,
                     BundleFaults& faults) {
  if (entry.value == "model") {
    target = ServiceKind::kModel;
    return;
  }
  if (entry.value == "plain") {
    target = ServiceKind::kPlain;
    return;
  }
  AddFault(entry,
           fmt::format("\"{}\" is not a kind; use model or plain", entry.value),
           faults);
}

void ReadKeyHash(const IniEntry& entry,
                 std::string& target,
                 BundleFaults& faults) {
  const bool is_hex = std::all_of(
      entry.value.begin(), entry.value.end(),
      [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
  if (!is_hex || entry.value.size() != kKeyHashHexDigits) {
    AddFault(entry,
             "is not 64 lower-case hexadecimal digits; make it with "
             "`pistachioctl customer hash-key`",
             faults);
    return;
  }
  target = entry.value;
}

}  // namespace pistachiowalk
