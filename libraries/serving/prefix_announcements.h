#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/bounded_codec.h"
#include "base/clock.h"
#include "base/ids.h"
#include "routing/token_bucket.h"

namespace pistachiowalk {

// Limit on the list of a message, against malicious datagrams.
constexpr size_t kMaximumAnnouncedPrefixes = 2048;

// A prefix that an endpoint has just read, so that it is in its cache.
struct ReadPrefix {
  uint64_t endpoint_key = 0;
  // Hash of the prefix, as in PrefixBlock.
  uint64_t prefix = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint_key, prefix);
  }
  friend auto operator<=>(const ReadPrefix&, const ReadPrefix&) = default;
};

// What nodes of one data centre announce.
struct ReadPrefixes {
  DataCenterName data_center;
  std::vector<ReadPrefix> prefixes;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, data_center);
    ArchiveList(archive, prefixes, kMaximumAnnouncedPrefixes);
  }
  friend auto operator<=>(const ReadPrefixes&, const ReadPrefixes&) = default;
};

// What the representative of a data centre does with a message.
enum class PrefixForwarding : uint8_t {
  kNone,
  kToOwnDataCenter,
  kToOtherDataCenters,
};

// `announced_in` is the data centre that the message names, `sent_from` that of
// the node that sent it, nullopt if it is unknown. Two nodes may take
// themselves for representatives for a while, so what one of the own data
// centre passes on is not passed on again.
PrefixForwarding PlanForwarding(const DataCenterName& announced_in,
                                const std::optional<DataCenterName>& sent_from,
                                const DataCenterName& own);

// Chooses what a node announces of the prefixes that its requests' endpoints
// have read, so that other nodes can have them fetched from there. Does no I/O.
//
// What all nodes announce together is bounded, whatever their number: each gets
// its part of the total, and announces the longest prefixes first.
class PrefixAnnouncements {
 public:
  // `nodes` is the number of nodes that announce, at least 1.
  void SetNodes(size_t nodes);
  void Note(const ReadPrefix& read, double tokens);
  // Returns what may be announced now; the rest is dropped.
  std::vector<ReadPrefix> Take(TimePoint now);

 private:
  struct Noted {
    ReadPrefix read;
    double tokens = 0.0;
  };
  std::vector<Noted> m_noted;
  TokenBucket m_allowance;
  double m_nodes = 1.0;
};

}  // namespace pistachiowalk
