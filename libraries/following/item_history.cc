#include "following/item_history.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumRemovals = 4096;
constexpr size_t kMaximumEdits = 64;
constexpr size_t kMaximumChainBytes = 128 * 1024;
constexpr size_t kMaximumChains = 16;

}  // namespace

void ItemHistory::Restart(StorePosition as_of) {
  m_complete_since = as_of;
  m_removals.clear();
  m_chains.clear();
}

void ItemHistory::RecordRemoval(const std::string& key, StorePosition as_of) {
  m_chains.erase(key);
  m_removals.push_back(KeyRevision{.key = key, .revision = as_of.revision});
  if (m_removals.size() > kMaximumRemovals) {
    m_complete_since.revision = m_removals.front().revision;
    m_removals.pop_front();
  }
}

void ItemHistory::RecordEdit(const StoreItem& before, const StoreItem& after) {
  if (before.value.size() < kLongValueBytes ||
      after.value.size() < kLongValueBytes) {
    m_chains.erase(after.key);
    return;
  }
  if (!m_chains.contains(after.key) && m_chains.size() >= kMaximumChains) {
    return;
  }
  Edit edit{.from = before.revision,
            .to = after.revision,
            .delta = MakeTextDelta(before.value, after.value)};
  const size_t bytes = TextDeltaBytes(edit.delta);
  EditChain& chain = m_chains[after.key];
  if (bytes > kMaximumChainBytes ||
      (!chain.edits.empty() && chain.edits.back().to != before.revision)) {
    chain = {};
  }
  if (bytes > kMaximumChainBytes) {
    return;
  }
  chain.bytes += bytes;
  chain.edits.push_back(std::move(edit));
  while (chain.bytes > kMaximumChainBytes ||
         chain.edits.size() > kMaximumEdits) {
    chain.bytes -= TextDeltaBytes(chain.edits.front().delta);
    chain.edits.pop_front();
  }
}

std::optional<std::vector<KeyRevision>> ItemHistory::RemovedSince(
    StorePosition position) const {
  if (position.history != m_complete_since.history ||
      position < m_complete_since) {
    return std::nullopt;
  }
  std::vector<KeyRevision> removed;
  for (const KeyRevision& removal : m_removals) {
    if (removal.revision > position.revision) {
      removed.push_back(removal);
    }
  }
  return removed;
}

std::vector<TextDelta> ItemHistory::EditsBetween(const std::string& key,
                                                 StoreRevision from,
                                                 StoreRevision to) const {
  const auto chain = m_chains.find(key);
  if (chain == m_chains.end() || chain->second.edits.empty() ||
      chain->second.edits.back().to != to) {
    return {};
  }
  const std::deque<Edit>& edits = chain->second.edits;
  const auto first =
      std::find_if(edits.begin(), edits.end(),
                   [from](const Edit& edit) { return edit.from == from; });
  std::vector<TextDelta> deltas;
  for (auto edit = first; edit != edits.end(); ++edit) {
    deltas.push_back(edit->delta);
  }
  return deltas;
}

}  // namespace pistachiowalk
