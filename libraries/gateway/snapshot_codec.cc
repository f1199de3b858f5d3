#include "gateway/snapshot_codec.h"

#include "base/bounded_codec.h"

namespace pistachiowalk {
namespace {

// Size limits of keys and values in the store.
constexpr size_t kMaximumKeyBytes = 1024;
constexpr size_t kMaximumValueBytes = 4 * 1024 * 1024;
constexpr size_t kMaximumItems = 100000;
constexpr size_t kMaximumDeltas = 1024;

struct WireItem {
  StoreItem item;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, item.key, kMaximumKeyBytes);
    ArchiveText(archive, item.value, kMaximumValueBytes);
    archive(item.revision);
  }
};

struct WireSnapshot {
  uint64_t as_of = 0;
  uint64_t newest_change = 0;
  std::vector<WireItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(as_of, newest_change);
    ArchiveList(archive, items, kMaximumItems);
  }
};

struct WireSnapshotOfHistory {
  uint64_t history = 0;
  WireSnapshot snapshot;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(history, snapshot);
  }
};

WireSnapshot ToWire(const PrefixSnapshot& snapshot) {
  WireSnapshot wire{.as_of = snapshot.as_of.revision,
                    .newest_change = snapshot.newest_change.revision};
  for (const StoreItem& item : snapshot.items) {
    wire.items.push_back(WireItem{item});
  }
  return wire;
}

PrefixSnapshot FromWire(const WireSnapshotOfHistory& wire) {
  PrefixSnapshot snapshot{
      .as_of = {.history = wire.history, .revision = wire.snapshot.as_of},
      .newest_change = {.history = wire.history,
                        .revision = wire.snapshot.newest_change}};
  for (const WireItem& item : wire.snapshot.items) {
    snapshot.items.push_back(item.item);
  }
  return snapshot;
}

struct WireKeyRevision {
  KeyRevision key;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, key.key, kMaximumKeyBytes);
    archive(key.revision);
  }
};

struct WireTextEdit {
  TextEdit edit;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(edit.copy_offset, edit.copy_length);
    ArchiveText(archive, edit.inserted, kMaximumValueBytes);
  }
};

struct WireTextDelta {
  std::vector<WireTextEdit> edits;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, edits, kMaximumItems);
  }
};

struct WireEditedItem {
  std::string key;
  uint64_t base_revision = 0;
  uint64_t revision = 0;
  uint64_t hash = 0;
  std::vector<WireTextDelta> deltas;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, key, kMaximumKeyBytes);
    archive(base_revision, revision, hash);
    ArchiveList(archive, deltas, kMaximumDeltas);
  }
};

struct WireChangesRequest {
  uint64_t history = 0;
  uint64_t as_of = 0;
  std::vector<WireKeyRevision> long_values;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(history, as_of);
    ArchiveList(archive, long_values, kMaximumItems);
  }
};

struct WireChanges {
  bool is_whole = true;
  uint64_t since = 0;
  WireSnapshotOfHistory state;
  std::vector<WireEditedItem> edited;
  std::vector<WireKeyRevision> removed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_whole, since, state);
    ArchiveList(archive, edited, kMaximumItems);
    ArchiveList(archive, removed, kMaximumItems);
  }
};

std::vector<WireKeyRevision> ToWire(const std::vector<KeyRevision>& keys) {
  std::vector<WireKeyRevision> wire;
  wire.reserve(keys.size());
  for (const KeyRevision& key : keys) {
    wire.push_back(WireKeyRevision{key});
  }
  return wire;
}

std::vector<KeyRevision> FromWire(const std::vector<WireKeyRevision>& wire) {
  std::vector<KeyRevision> keys;
  keys.reserve(wire.size());
  for (const WireKeyRevision& key : wire) {
    keys.push_back(key.key);
  }
  return keys;
}

WireEditedItem ToWire(const EditedItem& item) {
  WireEditedItem wire{.key = item.key,
                      .base_revision = item.base_revision,
                      .revision = item.revision,
                      .hash = item.hash};
  for (const TextDelta& delta : item.edits) {
    WireTextDelta& edits = wire.deltas.emplace_back();
    for (const TextEdit& edit : delta) {
      edits.edits.push_back(WireTextEdit{edit});
    }
  }
  return wire;
}

EditedItem FromWire(const WireEditedItem& wire) {
  EditedItem item{.key = wire.key,
                  .base_revision = wire.base_revision,
                  .revision = wire.revision,
                  .hash = wire.hash};
  for (const WireTextDelta& delta : wire.deltas) {
    TextDelta& edits = item.edits.emplace_back();
    for (const WireTextEdit& edit : delta.edits) {
      edits.push_back(edit.edit);
    }
  }
  return item;
}

}  // namespace

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot,
                                 SnapshotFormat format) {
  switch (format) {
    case SnapshotFormat::kWithoutHistory:
      return EncodeMessage(ToWire(snapshot));
    case SnapshotFormat::kWithHistory:
      break;
  }
  return EncodeMessage(WireSnapshotOfHistory{.history = snapshot.as_of.history,
                                             .snapshot = ToWire(snapshot)});
}

std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes,
                                                   SnapshotFormat format) {
  std::optional<WireSnapshotOfHistory> wire;
  switch (format) {
    case SnapshotFormat::kWithoutHistory:
      if (auto snapshot = DecodeMessage<WireSnapshot>(bytes)) {
        wire = WireSnapshotOfHistory{.snapshot = std::move(*snapshot)};
      }
      break;
    case SnapshotFormat::kWithHistory:
      wire = DecodeMessage<WireSnapshotOfHistory>(bytes);
      break;
  }
  return wire ? std::optional(FromWire(*wire)) : std::nullopt;
}

std::string EncodeChangesRequest(const PrefixChangesRequest& request) {
  return EncodeMessage(
      WireChangesRequest{.history = request.as_of.history,
                         .as_of = request.as_of.revision,
                         .long_values = ToWire(request.long_values)});
}

std::optional<PrefixChangesRequest> DecodeChangesRequest(
    std::string_view bytes) {
  const auto wire = DecodeMessage<WireChangesRequest>(bytes);
  if (!wire) {
    return std::nullopt;
  }
  return PrefixChangesRequest{
      .as_of = {.history = wire->history, .revision = wire->as_of},
      .long_values = FromWire(wire->long_values)};
}

std::string EncodePrefixChanges(const PrefixChanges& changes) {
  WireChanges wire{.is_whole = !changes.since,
                   .since = changes.since.value_or(StorePosition{}).revision,
                   .state = {.history = changes.as_of.history,
                             .snapshot = ToWire(PrefixSnapshot{
                                 .as_of = changes.as_of,
                                 .newest_change = changes.newest_change,
                                 .items = changes.items})},
                   .removed = ToWire(changes.removed)};
  for (const EditedItem& item : changes.edited) {
    wire.edited.push_back(ToWire(item));
  }
  return EncodeMessage(std::move(wire));
}

std::optional<PrefixChanges> DecodePrefixChanges(std::string_view bytes) {
  const auto wire = DecodeMessage<WireChanges>(bytes);
  if (!wire) {
    return std::nullopt;
  }
  PrefixSnapshot state = FromWire(wire->state);
  PrefixChanges changes{.as_of = state.as_of,
                        .newest_change = state.newest_change,
                        .items = std::move(state.items),
                        .removed = FromWire(wire->removed)};
  if (!wire->is_whole) {
    changes.since =
        StorePosition{.history = wire->state.history, .revision = wire->since};
  }
  for (const WireEditedItem& item : wire->edited) {
    changes.edited.push_back(FromWire(item));
  }
  return changes;
}

}  // namespace pistachiowalk
