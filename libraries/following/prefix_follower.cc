#include "following/prefix_follower.h"

#include <algorithm>

#include "following/following_log_events.h"

namespace pistachiowalk {
namespace {

constexpr uint32_t kMaximumDoublings = 6;
// Consecutive failures after which the store counts as lost; a single
// interrupted watch is common.
constexpr uint32_t kFailuresUntilLost = 2;
// Wait of a call that asks for changes at once; the shortest.
constexpr std::chrono::milliseconds kAskWait{1};
constexpr size_t kMaximumEditedBytes = 16 * 1024 * 1024;

// The item that results from edits of `base`; nullopt if they do not fit it.
std::optional<StoreItem> ApplyEdits(const StoreItem& base,
                                    const EditedItem& edited) {
  if (base.revision != edited.base_revision) {
    return std::nullopt;
  }
  std::string value = base.value;
  for (const TextDelta& delta : edited.edits) {
    std::optional<std::string> next =
        ApplyTextDelta(value, delta, kMaximumEditedBytes);
    if (!next) {
      return std::nullopt;
    }
    value = std::move(*next);
  }
  if (TextHash(value) != edited.hash) {
    return std::nullopt;
  }
  return StoreItem{.key = edited.key,
                   .value = std::move(value),
                   .revision = edited.revision};
}

}  // namespace

PrefixFollower::PrefixFollower(EventLoop& loop,
                               PrefixStore& store,
                               std::string prefix,
                               FollowerTimings timings,
                               uint64_t seed,
                               Handlers handlers)
    : m_loop(loop),
      m_store(store),
      m_prefix(std::move(prefix)),
      m_timings(timings),
      m_random(seed),
      m_handlers(std::move(handlers)) {}

PrefixFollower::~PrefixFollower() {
  m_loop.Cancel(m_retry_timer);
  m_loop.Cancel(m_batch_timer);
}

void PrefixFollower::Start() {
  List("");
}

void PrefixFollower::List(const std::string& after_key) {
  if (after_key.empty()) {
    m_listing.clear();
    m_listing_as_of.reset();
  }
  m_store.List(m_prefix, after_key,
               [this, sequence = m_sequence,
                alive = std::weak_ptr(m_alive)](const StorePage& page) {
                 if (!alive.expired() && sequence == m_sequence) {
                   OnPage(page);
                 }
               });
}

void PrefixFollower::ListAgain() {
  ++m_sequence;
  m_loop.Cancel(m_retry_timer);
  m_loop.Cancel(m_batch_timer);
  List("");
}

void PrefixFollower::NoteHistory(StoreHistory history) {
  if (history <= m_history) {
    return;
  }
  m_history = history;
  // NOTE: Before the first listing has ended, its own pages show the history.
  // A passive follower lists when it becomes active, unless a peer's snapshot
  // of this history arrives first.
  if (has_state() && !m_is_watch_deferred) {
    ListAgain();
  }
}

void PrefixFollower::OnPage(const StorePage& page) {
  if (page.status != StoreStatus::kOk || IsOutdated(page.history)) {
    OnCallFailed();
    Retry([this] { List(""); });
    return;
  }
  OnCallSucceeded();
  m_history = page.history;
  if (m_listing_as_of && m_listing_as_of->history != page.history) {
    // The pages before this one are of an earlier history.
    List("");
    return;
  }
  if (!m_listing_as_of) {
    // NOTE: The pages are not one consistent snapshot. The watch starts at the
    // revision of the first page, so changes that later pages already contain
    // are applied twice, which is harmless.
    m_listing_as_of =
        StorePosition{.history = page.history, .revision = page.as_of};
  }
  for (const StoreItem& item : page.items) {
    m_listing[item.key] = item;
  }
  if (page.has_more && !page.last_key.empty()) {
    List(page.last_key);
    return;
  }
  if (*m_listing_as_of < m_as_of) {
    // A newer snapshot arrived from a peer in the meantime.
    LogEvent(following_log::kListingBehind,
             {{"prefix", m_prefix},
              {"listed", FormatStorePosition(*m_listing_as_of)},
              {"known", FormatStorePosition(m_as_of)}});
    Retry([this] { List(""); });
    return;
  }
  LogEvent(following_log::kListed,
           {{"prefix", m_prefix},
            {"from", FormatStorePosition(m_as_of)},
            {"to", FormatStorePosition(*m_listing_as_of)}});
  Replace(std::exchange(m_listing, {}), *m_listing_as_of, ItemSource::kStore);
  m_handlers.confirmed();
  Watch();
}

void PrefixFollower::Replace(std::map<std::string, StoreItem> items,
                             StorePosition as_of,
                             ItemSource source) {
  const bool is_restored = has_state() && as_of.history > m_as_of.history;
  if (!has_state() || is_restored) {
    m_covering_position = as_of;
  }
  RecordReplacement(items, as_of);
  m_items = std::move(items);
  m_as_of = std::max(m_as_of, as_of);
  std::vector<StoreItem> list;
  list.reserve(m_items.size());
  for (const auto& [key, item] : m_items) {
    list.push_back(item);
    m_newest_change = std::max(
        m_newest_change,
        StorePosition{.history = as_of.history, .revision = item.revision});
  }
  m_covering_position = std::max(m_covering_position, m_newest_change);
  if (is_restored) {
    m_handlers.restored();
  }
  m_handlers.replaced(list, source);
}

void PrefixFollower::RecordReplacement(
    const std::map<std::string, StoreItem>& next,
    StorePosition as_of) {
  if (!has_state() || as_of.history != m_as_of.history) {
    m_item_history.Restart(as_of);
    return;
  }
  for (const auto& [key, item] : m_items) {
    const auto replacement = next.find(key);
    if (replacement == next.end()) {
      // NOTE: No item of the list has the removal's revision, and peers fetch
      // only what is newer than they know.
      m_newest_change = std::max(m_newest_change, as_of);
      m_covering_position = std::max(m_covering_position, as_of);
      m_item_history.RecordRemoval(key, std::max(m_as_of, as_of));
    } else if (replacement->second.revision != item.revision) {
      m_item_history.RecordEdit(item, replacement->second);
    }
  }
}

void PrefixFollower::SetPassive(bool is_passive) {
  m_is_passive = is_passive;
  if (!is_passive && m_is_watch_deferred) {
    m_is_watch_deferred = false;
    Watch();
  }
}

void PrefixFollower::Watch() {
  if (m_is_passive) {
    m_is_watch_deferred = true;
    return;
  }
  if (IsOutdated(m_as_of.history)) {
    ListAgain();
    return;
  }
  m_store.WatchPrefix(
      m_prefix, m_as_of.revision, m_timings.watch_timeout,
      [this, sequence = m_sequence, asked_as_of = m_as_of,
       alive = std::weak_ptr(m_alive)](const StoreChanges& changes) {
        if (!alive.expired() && sequence == m_sequence) {
          OnChanges(asked_as_of, changes);
        }
      });
}

void PrefixFollower::OnChanges(StorePosition asked_as_of,
                               const StoreChanges& changes) {
  if (changes.status == WatchStatus::kUnavailable ||
      IsOutdated(changes.history)) {
    OnCallFailed();
    Retry([this] { Watch(); });
    return;
  }
  m_history = changes.history;
  if (changes.status == WatchStatus::kHistoryLost) {
    LogEvent(
        following_log::kHistoryLost,
        {{"prefix", m_prefix}, {"after", FormatStorePosition(asked_as_of)}});
    OnCallSucceeded();
    List("");
    return;
  }
  OnCallSucceeded();
  if (changes.history != asked_as_of.history) {
    // The revision that was asked for is of another history.
    List("");
    return;
  }
  ApplyAnswer(changes);
  if (changes.changes.empty()) {
    Watch();
    return;
  }
  m_batch_timer = m_loop.Schedule(m_timings.batch_delay, [this] { Watch(); });
}

void PrefixFollower::ApplyAnswer(const StoreChanges& changes) {
  for (const StoreChange& change : changes.changes) {
    // NOTE: A newer snapshot may have arrived from a peer during the watch.
    if (StorePosition{.history = changes.history,
                      .revision = change.item.revision} > m_as_of) {
      ApplyChange(change);
    }
  }
  m_as_of = std::max(m_as_of, StorePosition{.history = changes.history,
                                            .revision = changes.as_of});
  m_handlers.confirmed();
}

bool PrefixFollower::AskNow(AskCallback ended) {
  if (m_is_asking || !has_state() || IsOutdated(m_as_of.history)) {
    return false;
  }
  m_is_asking = true;
  m_store.WatchPrefix(
      m_prefix, m_as_of.revision, kAskWait,
      [this, asked_as_of = m_as_of, ended = std::move(ended),
       alive = std::weak_ptr(m_alive)](const StoreChanges& changes) {
        if (alive.expired()) {
          return;
        }
        m_is_asking = false;
        // NOTE: The watch or the next listing handles a later history.
        const bool is_complete = changes.status == WatchStatus::kOk &&
                                 changes.history == asked_as_of.history &&
                                 changes.history == m_as_of.history &&
                                 !IsOutdated(changes.history);
        if (is_complete) {
          ApplyAnswer(changes);
        } else {
          m_handlers.ask_failed();
        }
        ended(is_complete);
      });
  return true;
}

void PrefixFollower::ApplyChange(const StoreChange& change) {
  const auto known = m_items.find(change.item.key);
  if (known != m_items.end() &&
      known->second.revision >= change.item.revision) {
    return;
  }
  m_newest_change = std::max(m_newest_change,
                             StorePosition{.history = m_as_of.history,
                                           .revision = change.item.revision});
  m_covering_position = std::max(m_covering_position, m_newest_change);
  if (change.is_removed) {
    if (known == m_items.end()) {
      return;
    }
    m_item_history.RecordRemoval(
        change.item.key, StorePosition{.history = m_as_of.history,
                                       .revision = change.item.revision});
    m_items.erase(known);
  } else {
    if (known != m_items.end()) {
      m_item_history.RecordEdit(known->second, change.item);
    }
    m_items[change.item.key] = change.item;
  }
  m_handlers.changed(change);
}

void PrefixFollower::ApplyPeerSnapshot(const PrefixSnapshot& snapshot) {
  if (snapshot.as_of <= m_as_of) {
    return;
  }
  std::map<std::string, StoreItem> items;
  for (const StoreItem& item : snapshot.items) {
    items[item.key] = item;
  }
  LogEvent(following_log::kRelayed,
           {{"prefix", m_prefix},
            {"from", FormatStorePosition(m_as_of)},
            {"to", FormatStorePosition(snapshot.as_of)}});
  m_history = std::max(m_history, snapshot.as_of.history);
  m_newest_change = std::max(m_newest_change, snapshot.newest_change);
  Replace(std::move(items), snapshot.as_of, ItemSource::kPeer);
}

bool PrefixFollower::ApplyPeerChanges(const PrefixChanges& changes) {
  if (!changes.since) {
    ApplyPeerSnapshot(PrefixSnapshot{.as_of = changes.as_of,
                                     .newest_change = changes.newest_change,
                                     .items = changes.items});
    return true;
  }
  if (changes.as_of <= m_as_of) {
    return true;
  }
  if (changes.since->history != m_as_of.history || *changes.since > m_as_of) {
    return false;
  }
  std::optional<std::map<std::string, StoreItem>> items = ItemsAfter(changes);
  if (!items) {
    return false;
  }
  LogEvent(following_log::kRelayed,
           {{"prefix", m_prefix},
            {"from", FormatStorePosition(m_as_of)},
            {"to", FormatStorePosition(changes.as_of)}});
  m_newest_change = std::max(m_newest_change, changes.newest_change);
  Replace(std::move(*items), changes.as_of, ItemSource::kPeer);
  return true;
}

std::optional<std::map<std::string, StoreItem>> PrefixFollower::ItemsAfter(
    const PrefixChanges& changes) const {
  std::map<std::string, StoreItem> items = m_items;
  for (const KeyRevision& removed : changes.removed) {
    const auto item = items.find(removed.key);
    if (item != items.end() && item->second.revision <= removed.revision) {
      items.erase(item);
    }
  }
  const auto put = [&items](const StoreItem& item) {
    StoreItem& known = items[item.key];
    if (known.revision < item.revision) {
      known = item;
    }
  };
  for (const StoreItem& item : changes.items) {
    put(item);
  }
  for (const EditedItem& edited : changes.edited) {
    const auto base = items.find(edited.key);
    if (base != items.end() && base->second.revision >= edited.revision) {
      continue;
    }
    const std::optional<StoreItem> item =
        base == items.end() ? std::nullopt : ApplyEdits(base->second, edited);
    if (!item) {
      return std::nullopt;
    }
    put(*item);
  }
  return items;
}

PrefixChangesRequest PrefixFollower::MakeChangesRequest() const {
  PrefixChangesRequest request{.as_of = m_as_of};
  for (const auto& [key, item] : m_items) {
    if (item.value.size() >= kLongValueBytes) {
      request.long_values.push_back(
          KeyRevision{.key = key, .revision = item.revision});
    }
  }
  return request;
}

PrefixChanges PrefixFollower::ChangesFor(
    const PrefixChangesRequest& request) const {
  PrefixChanges changes{.as_of = m_as_of, .newest_change = m_newest_change};
  std::optional<std::vector<KeyRevision>> removed =
      request.as_of.history == m_as_of.history && request.as_of <= m_as_of
          ? m_item_history.RemovedSince(request.as_of)
          : std::nullopt;
  if (!removed) {
    for (const auto& [key, item] : m_items) {
      changes.items.push_back(item);
    }
    return changes;
  }
  changes.since = request.as_of;
  changes.removed = std::move(*removed);
  std::map<std::string, StoreRevision> known;
  for (const KeyRevision& value : request.long_values) {
    known[value.key] = value.revision;
  }
  for (const auto& [key, item] : m_items) {
    if (item.revision <= request.as_of.revision) {
      continue;
    }
    const auto base = known.find(key);
    std::vector<TextDelta> edits =
        base == known.end()
            ? std::vector<TextDelta>()
            : m_item_history.EditsBetween(key, base->second, item.revision);
    if (edits.empty()) {
      changes.items.push_back(item);
      continue;
    }
    changes.edited.push_back(EditedItem{.key = key,
                                        .base_revision = base->second,
                                        .revision = item.revision,
                                        .hash = TextHash(item.value),
                                        .edits = std::move(edits)});
  }
  return changes;
}

PrefixSnapshot PrefixFollower::Snapshot() const {
  PrefixSnapshot snapshot{.as_of = m_as_of, .newest_change = m_newest_change};
  for (const auto& [key, item] : m_items) {
    snapshot.items.push_back(item);
  }
  return snapshot;
}

void PrefixFollower::OnCallFailed() {
  ++m_failures;
  if (!m_is_store_lost && m_failures >= kFailuresUntilLost) {
    m_is_store_lost = true;
    LogEvent(following_log::kStoreLost,
             {{"prefix", m_prefix}, {"as_of", FormatStorePosition(m_as_of)}});
    m_handlers.store_lost();
  }
}

void PrefixFollower::OnCallSucceeded() {
  m_failures = 0;
  if (m_is_store_lost) {
    m_is_store_lost = false;
    LogEvent(following_log::kStoreBack,
             {{"prefix", m_prefix}, {"as_of", FormatStorePosition(m_as_of)}});
    m_handlers.store_recovered();
  }
}

void PrefixFollower::Retry(std::function<void()> step) {
  const uint32_t doublings =
      std::min(m_failures > 0 ? m_failures - 1 : 0, kMaximumDoublings);
  const auto backoff = std::min(m_timings.initial_backoff * (1 << doublings),
                                m_timings.maximum_backoff);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  m_retry_timer = m_loop.Schedule(
      std::chrono::duration_cast<Duration>(backoff * jitter(m_random)),
      std::move(step));
}

}  // namespace pistachiowalk
