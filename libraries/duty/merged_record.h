#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/store_port.h"

namespace pistachiowalk {

// A value in the store that one node at a time writes and whose versions can be
// merged, so that what another node has written is never lost.
class MergedRecord {
 public:
  // Called with each value that was read; never with an empty one.
  using MergeCallback = std::function<void(const std::string& value)>;

  MergedRecord(StorePort& store, std::string key, MergeCallback merge);

  // Called once a read has ended, with whether the value was read.
  using ReadCallback = std::function<void(bool is_read)>;
  // Reads the value unless a call is pending. Returns whether the read was
  // sent; only then `ended` is called, after the merge.
  bool Read(ReadCallback ended = [](bool) {});
  // Writes `value` unless its `revision` was written, the value was never read
  // or a call is pending. What another node has written is merged first.
  void Write(const std::string& value, uint64_t revision);
  // Called when the store was restored from a copy and may have lost the
  // value; it is read again before it is written.
  void NoteStoreRestored();
  bool is_read() const { return m_is_read; }
  const std::string& key() const { return m_key; }

 private:
  void Merge(const std::string& value) const;

  StorePort& m_store;
  std::string m_key;
  MergeCallback m_merge;
  StoreRevision m_store_revision = 0;
  std::optional<uint64_t> m_written_revision;
  // Number of restores of the store during the process's life.
  uint64_t m_restores = 0;
  bool m_is_read = false;
  bool m_is_calling = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
