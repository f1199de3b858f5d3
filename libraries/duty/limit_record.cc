#include "duty/limit_record.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sstream>
#include <vector>

#include "duty/duty_log_events.h"
#include "duty/record_bounds.h"

namespace pistachiowalk {

using std::chrono::milliseconds;
using std::chrono::system_clock;

LimitRecordText FormatLimitRecord(const CustomerUsages& usages,
                                  system_clock::time_point wall) {
  LimitRecordText record{
      .text = fmt::format("{}\n", std::chrono::duration_cast<milliseconds>(
                                      wall.time_since_epoch())
                                      .count())};
  std::vector<const CustomerUsages::value_type*> by_usage;
  for (const CustomerUsages::value_type& entry : usages) {
    by_usage.push_back(&entry);
  }
  std::stable_sort(by_usage.begin(), by_usage.end(),
                   [](const auto* a, const auto* b) {
                     return a->second.Total() > b->second.Total();
                   });
  for (const auto* entry : by_usage) {
    const std::string line = fmt::format("{}={:.0f}\n", entry->first.value(),
                                         fmt::join(entry->second.by_age, " "));
    if (record.text.size() + line.size() <= kMaximumRecordBytes) {
      record.text += line;
    } else {
      ++record.left_out;
    }
  }
  return record;
}

bool ParseLimitRecord(const std::string& text,
                      CustomerUsages& usages,
                      system_clock::time_point& wall) {
  std::istringstream stream(text);
  int64_t count = 0;
  if (!(stream >> count)) {
    return false;
  }
  wall = system_clock::time_point(milliseconds(count));
  std::string line;
  std::getline(stream, line);
  while (std::getline(stream, line)) {
    const size_t separator = line.rfind('=');
    if (separator == std::string::npos) {
      return false;
    }
    std::istringstream number(line.substr(separator + 1));
    WindowUsage usage;
    for (double& amount : usage.by_age) {
      if (!(number >> amount)) {
        return false;
      }
    }
    usages[CustomerName(line.substr(0, separator))] = usage;
  }
  return true;
}

LimitRecord::LimitRecord(StorePort& store, std::string key)
    : m_store(store), m_key(std::move(key)) {}

void LimitRecord::Restore(RestoreCallback callback) {
  m_store.Get(m_key,
              [this, callback = std::move(callback),
               alive = std::weak_ptr(m_alive)](const StoreResult& result) {
                if (alive.expired()) {
                  return;
                }
                CustomerUsages usages;
                system_clock::time_point wall;
                if (result.status != StoreStatus::kOk) {
                  LogEvent(duty_log::kLimitsUnknown,
                           {{"key", m_key}, {"reason", "no answer"}});
                  return;
                }
                m_revision = result.revision;
                if (ParseLimitRecord(result.value, usages, wall)) {
                  callback(usages, wall);
                } else if (!result.value.empty()) {
                  LogEvent(duty_log::kLimitsUnknown,
                           {{"key", m_key}, {"reason", "unreadable"}});
                }
              });
}

void LimitRecord::Write(const CustomerUsages& usages,
                        system_clock::time_point wall) {
  if (usages.empty() || m_is_writing) {
    return;
  }
  const LimitRecordText record = FormatLimitRecord(usages, wall);
  if (record.left_out != m_left_out) {
    m_left_out = record.left_out;
    LogEvent(duty_log::kLimitsTrimmed,
             {{"left_out", std::to_string(m_left_out)}});
  }
  m_is_writing = true;
  m_store.CompareAndSwap(
      m_key, m_revision, record.text,
      [this, alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_writing = false;
        if (result.status == StoreStatus::kOk ||
            result.status == StoreStatus::kConflict) {
          m_revision = result.revision;
        }
      });
}

}  // namespace pistachiowalk
