#include "duty/usage_record.h"

#include <algorithm>
#include <functional>

#include "base/bounded_codec.h"
#include "duty/duty_lease.h"
#include "duty/duty_log_events.h"
#include "duty/record_bounds.h"

namespace pistachiowalk {
namespace {

// Limits the loss when all nodes are killed: at most a fifth of a window of
// five seconds.
constexpr Duration kWriteInterval = std::chrono::milliseconds(1000);
// Number of windows recorded besides the current one, as they are not reported
// yet.
constexpr UsageWindow kRecordedWindows = 1;
constexpr size_t kMaximumRecordNodes = 20000;
constexpr size_t kMaximumRecordCounts = 20000;
// Encoded sizes without the names.
constexpr size_t kCountBytes = 16;
constexpr size_t kNodeBytes = 16;

struct StoredUsage {
  NodeUsage usage;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, usage.source.node);
    archive(usage.source.incarnation);
    ArchiveList(archive, usage.counts,
                kMaximumDigestCustomers * kMaximumDigestWindows);
  }
};

struct StoredRecord {
  std::vector<StoredUsage> nodes;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, nodes, kMaximumRecordNodes);
  }
};

}  // namespace

std::string EncodeUsageRecord(const std::vector<NodeUsage>& usage) {
  // The largest counts are kept if the store cannot hold all of them.
  std::vector<uint32_t> started;
  for (const NodeUsage& node : usage) {
    for (const StartedCount& count : node.counts) {
      started.push_back(count.started);
    }
  }
  std::sort(started.begin(), started.end(), std::greater<>());
  size_t bytes = 0;
  StoredRecord record;
  const auto keep = [&](const StartedCount& count, uint32_t least) {
    const size_t size = kCountBytes + count.customer.value().size();
    if (count.started < least || bytes + size > kMaximumRecordBytes ||
        count.customer.value().size() > kMaximumNameBytes) {
      return false;
    }
    bytes += size;
    return true;
  };
  const uint32_t least =
      started.size() > kMaximumRecordCounts ? started[kMaximumRecordCounts] : 0;
  for (const NodeUsage& node : usage) {
    bytes += kNodeBytes + node.source.node.value().size();
    if (record.nodes.size() == kMaximumRecordNodes ||
        bytes > kMaximumRecordBytes) {
      break;
    }
    StoredUsage kept{NodeUsage{.source = node.source}};
    for (const StartedCount& count : node.counts) {
      if (keep(count, least)) {
        kept.usage.counts.push_back(count);
      }
    }
    record.nodes.push_back(std::move(kept));
  }
  return EncodeMessage(std::move(record));
}

std::optional<std::vector<NodeUsage>> DecodeUsageRecord(
    std::string_view bytes) {
  const std::optional<StoredRecord> record = DecodeMessage<StoredRecord>(bytes);
  if (!record) {
    return std::nullopt;
  }
  std::vector<NodeUsage> usage;
  for (const StoredUsage& node : record->nodes) {
    usage.push_back(node.usage);
  }
  return usage;
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
  if (!m_lease.MayAct() || m_is_call_pending) {
    return;
  }
  if (!IsRestored()) {
    Restore(own);
  } else if (m_clock.Now() - m_written_at >= kWriteInterval) {
    Write(own, current);
  }
}

void UsageRecord::Restore(const NodeIncarnation& own) {
  m_is_call_pending = true;
  m_store.Get(
      m_key, [this, own, fence = m_lease.fence(),
              alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_call_pending = false;
        if (result.status != StoreStatus::kOk) {
          LogEvent(duty_log::kUsageRecordUnknown, {{"key", m_key}});
          return;
        }
        m_revision = result.revision;
        m_restored_fence = fence;
        const auto usage = DecodeUsageRecord(result.value);
        for (const NodeUsage& node : usage.value_or(std::vector<NodeUsage>())) {
          if (node.source != own) {
            m_ledger.MergeNodeCounts(node.source.node, node.source.incarnation,
                                     node.counts);
          }
        }
      });
}

void UsageRecord::Write(const NodeIncarnation& own, UsageWindow current) {
  m_written_at = m_clock.Now();
  const std::vector<NodeUsage> usage =
      m_ledger.AllCounts(own, current - kRecordedWindows);
  if (usage.empty()) {
    return;
  }
  m_is_call_pending = true;
  m_store.CompareAndSwap(
      m_key, m_revision, EncodeUsageRecord(usage),
      [this, alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_call_pending = false;
        if (result.status == StoreStatus::kOk ||
            result.status == StoreStatus::kConflict) {
          m_revision = result.revision;
        }
      });
}

}  // namespace pistachiowalk
