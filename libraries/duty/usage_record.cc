#include "duty/usage_record.h"

#include "base/bounded_codec.h"
#include "duty/duty_lease.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {
namespace {

// What is lost at most when all nodes are killed: a fifth of a window of five
// seconds.
constexpr Duration kWriteInterval = std::chrono::milliseconds(1000);
// Windows that are not reported yet: the current one and the one before.
constexpr UsageWindow kRecordedWindows = 1;
constexpr size_t kMaximumRecordNodes = 20000;

struct CodedUsage {
  ToldUsage told;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, told.teller.node);
    archive(told.teller.incarnation);
    ArchiveList(archive, told.counts,
                kMaximumDigestCustomers * kMaximumDigestWindows);
  }
};

struct CodedRecord {
  std::vector<CodedUsage> nodes;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, nodes, kMaximumRecordNodes);
  }
};

}  // namespace

std::string EncodeUsageRecord(const std::vector<ToldUsage>& told) {
  CodedRecord record;
  for (const ToldUsage& node : told) {
    record.nodes.push_back(CodedUsage{node});
  }
  return EncodeMessage(std::move(record));
}

std::optional<std::vector<ToldUsage>> DecodeUsageRecord(
    std::string_view bytes) {
  const std::optional<CodedRecord> record = DecodeMessage<CodedRecord>(bytes);
  if (!record) {
    return std::nullopt;
  }
  std::vector<ToldUsage> told;
  for (const CodedUsage& node : record->nodes) {
    told.push_back(node.told);
  }
  return told;
}

UsageRecord::UsageRecord(const Clock& clock,
                         StorePort& store,
                         DutyLease& lease,
                         UsageLedger& ledger,
                         std::string key)
    : m_clock(clock),
      m_store(store),
      m_lease(lease),
      m_ledger(ledger),
      m_key(std::move(key)) {}

bool UsageRecord::IsRestored() const {
  return m_lease.MayAct() && m_restored_fence == m_lease.fence();
}

void UsageRecord::Step(const NodeIncarnation& own, UsageWindow current) {
  if (!m_lease.MayAct() || m_is_open) {
    return;
  }
  if (!IsRestored()) {
    Restore(own);
  } else if (m_clock.Now() - m_written_at >= kWriteInterval) {
    Write(own, current);
  }
}

void UsageRecord::Restore(const NodeIncarnation& own) {
  m_is_open = true;
  m_store.Get(
      m_key, [this, own, fence = m_lease.fence(),
              alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_open = false;
        if (result.status != StoreStatus::kOk) {
          LogEvent(duty_log::kUsageRecordUnknown, {{"key", m_key}});
          return;
        }
        m_revision = result.revision;
        m_restored_fence = fence;
        const auto told = DecodeUsageRecord(result.value);
        for (const ToldUsage& node : told.value_or(std::vector<ToldUsage>())) {
          if (node.teller != own) {
            m_ledger.NoteTold(node.teller.node, node.teller.incarnation,
                              node.counts);
          }
        }
      });
}

void UsageRecord::Write(const NodeIncarnation& own, UsageWindow current) {
  m_written_at = m_clock.Now();
  const std::vector<ToldUsage> told =
      m_ledger.All(own, current - kRecordedWindows);
  if (told.empty()) {
    return;
  }
  m_is_open = true;
  m_store.CompareAndSwap(
      m_key, m_revision, EncodeUsageRecord(told),
      [this, alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_open = false;
        if (result.status == StoreStatus::kOk ||
            result.status == StoreStatus::kConflict) {
          m_revision = result.revision;
        }
      });
}

}  // namespace pistachiowalk
