#include "daemon/audit_trail.h"

#include <sodium.h>

#include <array>
#include <boost/json.hpp>
#include <chrono>

#include "daemon/audit_log_events.h"

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumKeptEntries = 1000;

}  // namespace

std::string AuditEntryHash(const AuditEntry& entry) {
  // NOTE: JSON delimits the fields, so two different entries never hash the
  // same bytes, as plain concatenation could.
  const std::string text = boost::json::serialize(boost::json::array{
      entry.previous_hash, entry.number, entry.unix_milliseconds,
      entry.record.actor, entry.record.subject, entry.record.action,
      entry.record.reason, entry.record.before, entry.record.after});
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  std::string hex(2 * hash.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  hex.pop_back();
  return hex;
}

AuditTrail::AuditTrail(const Clock& clock, const NodeId& node)
    : m_clock(clock), m_node(node) {}

void AuditTrail::Record(const AuditRecord& record) {
  AuditEntry entry{.number = ++m_last_number,
                   .unix_milliseconds =
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_clock.WallNow().time_since_epoch())
                           .count(),
                   .record = record,
                   .previous_hash = m_last_hash};
  entry.hash = AuditEntryHash(entry);
  m_last_hash = entry.hash;
  LogEvent(audit_log::kRecorded,
           {{"number", std::to_string(entry.number)},
            {"time_ms", std::to_string(entry.unix_milliseconds)},
            {"actor", record.actor},
            {"subject", record.subject},
            {"action", record.action},
            {"reason", record.reason},
            {"before", record.before},
            {"after", record.after},
            {"hash", entry.hash}});
  m_entries.push_back(std::move(entry));
  if (m_entries.size() > kMaximumKeptEntries) {
    m_entries.pop_front();
  }
}

std::string AuditTrail::Document() const {
  boost::json::array entries;
  for (const AuditEntry& entry : m_entries) {
    entries.push_back(
        boost::json::object{{"number", entry.number},
                            {"time_ms", entry.unix_milliseconds},
                            {"actor", entry.record.actor},
                            {"subject", entry.record.subject},
                            {"action", entry.record.action},
                            {"reason", entry.record.reason},
                            {"before", entry.record.before},
                            {"after", entry.record.after},
                            {"previous_hash", entry.previous_hash},
                            {"hash", entry.hash}});
  }
  return boost::json::serialize(boost::json::object{
      {"node", m_node.value()}, {"entries", std::move(entries)}});
}

uint64_t FindBrokenEntry(const std::deque<AuditEntry>& entries) {
  for (size_t i = 0; i < entries.size(); ++i) {
    const AuditEntry& entry = entries[i];
    const bool is_linked =
        i == 0 || (entry.number == entries[i - 1].number + 1 &&
                   entry.previous_hash == entries[i - 1].hash);
    if (!is_linked || AuditEntryHash(entry) != entry.hash) {
      return entry.number;
    }
  }
  return 0;
}

}  // namespace pistachiowalk
