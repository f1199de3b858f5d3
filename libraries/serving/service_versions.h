#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"

namespace pistachiowalk {

// Limit on the list of a record, against malformed ones.
constexpr size_t kMaximumServedVersions = 4096;

// A version that workers of a service have, or had.
struct ServedVersion {
  ServiceName service;
  SoftwareVersion version;
  // When the last of them left, in milliseconds since 1970; 0 while there is
  // one.
  int64_t left_at_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, service);
    ArchiveName(archive, version);
    archive(left_at_ms);
  }
  friend auto operator<=>(const ServedVersion&, const ServedVersion&) = default;
};

struct ServedVersionsRecord {
  std::vector<ServedVersion> versions;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, versions, kMaximumServedVersions);
  }
  friend auto operator<=>(const ServedVersionsRecord&,
                          const ServedVersionsRecord&) = default;
};

// The versions of each service that may have begun a stream that still lasts.
// Does no I/O.
//
// If there is only one, it began each stream of the service, also those of
// which no node knows any more. What the store records of it is needed for
// that: a node that has just started cannot know what has left before.
class ServiceVersions {
 public:
  using ListedVersions = std::set<std::pair<ServiceName, SoftwareVersion>>;

  // Streams may be resumed for this time after their version has left. The
  // time only grows, as a stream may have begun under an earlier config.
  void ExtendLifetime(std::chrono::milliseconds lifetime) {
    m_lifetime = std::max(m_lifetime, lifetime);
  }
  // `listed` are the versions of all endpoints known now. `now_ms` is
  // in milliseconds since 1970.
  void Update(const ListedVersions& listed, int64_t now_ms);
  // Adds what the store has recorded.
  void Merge(const ServedVersionsRecord& recorded);

  // Whether the store's record was ever read.
  bool has_record() const { return m_has_record; }
  // The only version that may have begun a stream of the service; nullopt if
  // there are several or if it is not known for certain.
  std::optional<SoftwareVersion> OnlyVersion(const ServiceName& service,
                                             int64_t now_ms) const;
  ServedVersionsRecord Record(int64_t now_ms) const;
  // Incremented with each change of what is recorded.
  uint64_t revision() const { return m_revision; }

 private:
  bool MayLast(int64_t left_at_ms, int64_t now_ms) const;

  std::chrono::milliseconds m_lifetime{15000};
  // When each version left; 0 while it is listed.
  std::map<std::pair<ServiceName, SoftwareVersion>, int64_t> m_left_at_ms;
  bool m_has_record = false;
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
