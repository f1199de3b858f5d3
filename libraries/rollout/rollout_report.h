#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "store/store_position.h"

namespace pistachiowalk {

constexpr size_t kMaximumRolloutRoutes = 256;
// Bucket i counts times of at least 2^(i/2) ms and less than 2^((i+1)/2) ms;
// the first and the last one also count all shorter and longer ones.
constexpr size_t kRolloutTimeBuckets = 32;

// Workers of the target whose counts are told apart, for each route.
constexpr size_t kMaximumRolloutWorkers = 16;

// Reads or writes a count in as few bytes as it needs.
template <class Archive>
void ArchiveCount(Archive& archive, uint32_t& count) {
  if constexpr (Archive::is_saving::value) {
    uint32_t rest = count;
    for (; rest >= 0x80; rest >>= 7) {
      archive(static_cast<uint8_t>(rest | 0x80));
    }
    archive(static_cast<uint8_t>(rest));
  } else {
    count = 0;
    for (uint32_t shift = 0;; shift += 7) {
      uint8_t byte = 0;
      archive(byte);
      if (shift > 28 || (shift == 28 && (byte & 0x7f) > 0x0f)) {
        throw cereal::Exception("count exceeds its limit");
      }
      count |= static_cast<uint32_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0) {
        return;
      }
    }
  }
}

// What became of requests since the roll-out began. Counts only increase.
struct VersionCounts {
  // Requests sent, repeats and resumptions included.
  uint32_t sent = 0;
  // Complete responses, and failed, broken or missing ones. A response that is
  // the request's own fault counts as good.
  uint32_t good = 0;
  uint32_t bad = 0;
  // Times to the response, or to the first event of a stream.
  std::array<uint32_t, kRolloutTimeBuckets> times{};

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveCount(archive, sent);
    ArchiveCount(archive, good);
    ArchiveCount(archive, bad);
    // Most buckets are empty.
    uint32_t used = 0;
    for (size_t bucket = 0; bucket < kRolloutTimeBuckets; ++bucket) {
      used |= times.at(bucket) > 0 ? 1U << bucket : 0U;
    }
    archive(used);
    for (size_t bucket = 0; bucket < kRolloutTimeBuckets; ++bucket) {
      if ((used >> bucket & 1U) != 0) {
        ArchiveCount(archive, times.at(bucket));
      }
    }
  }
  friend auto operator<=>(const VersionCounts&, const VersionCounts&) = default;
};

VersionCounts operator+(const VersionCounts& a, const VersionCounts& b);
// What `later` has more than `earlier`; 0 where it has less.
VersionCounts operator-(const VersionCounts& later,
                        const VersionCounts& earlier);

// The bucket of a time.
size_t RolloutTimeBucket(double milliseconds);

// Of one worker of the target.
struct WorkerVersionCounts {
  uint64_t endpoint_key = 0;
  VersionCounts counts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint_key, counts);
  }
  friend auto operator<=>(const WorkerVersionCounts&,
                          const WorkerVersionCounts&) = default;
};

// Of one route, at the old versions and at the target.
struct RouteVersionCounts {
  std::string route;
  VersionCounts old_versions;
  VersionCounts target;
  // Of the target's counts, those of single workers, so that a worker with a
  // fault of its own is told from a bad version.
  std::vector<WorkerVersionCounts> target_workers;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, route, kMaximumNameBytes);
    archive(old_versions, target);
    ArchiveList(archive, target_workers, kMaximumRolloutWorkers);
  }
  friend auto operator<=>(const RouteVersionCounts&,
                          const RouteVersionCounts&) = default;
};

// The counts of one incarnation of a node, for one roll-out. Each report
// replaces the node's previous one, so a lost one is harmless.
struct RolloutReport {
  NodeId node;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  ServiceName service;
  // Of the order.
  StorePosition position;
  // Whether the node sends nothing more to the target on its own evidence.
  bool has_stopped = false;
  std::vector<RouteVersionCounts> routes;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, node);
    archive(incarnation, sequence);
    ArchiveName(archive, service);
    archive(position.history, position.revision, has_stopped);
    ArchiveList(archive, routes, kMaximumRolloutRoutes);
  }
  friend auto operator<=>(const RolloutReport&, const RolloutReport&) = default;
};

}  // namespace pistachiowalk
