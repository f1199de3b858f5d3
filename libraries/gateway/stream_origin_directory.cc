#include "gateway/stream_origin_directory.h"

#include <array>
#include <utility>

namespace pistachiowalk {
namespace {

// Nodes that keep an origin beside the one that began the stream, so that it
// survives the end of several.
constexpr size_t kKeepers = 3;
// Nodes that are asked: more than keep an origin, as some may have joined or
// responded again since.
constexpr size_t kAskedNodes = 6;
// When a node that has started again tells the others of its streams: these may
// have started at the same moment and be heard a little later.
constexpr std::array<Duration, 2> kRestoreReportDelays = {
    std::chrono::milliseconds(400), std::chrono::milliseconds(1500)};
// A few round trips between regions.
constexpr Duration kLookupTimeout = std::chrono::milliseconds(150);

}  // namespace

StreamOriginDirectory::StreamOriginDirectory(EventLoop& loop,
                                             const Clock& clock,
                                             Ports ports)
    : m_loop(loop), m_clock(clock), m_ports(std::move(ports)) {}

void StreamOriginDirectory::NoteBegun(StreamKey key,
                                      const StreamOrigin& origin) {
  m_own_streams.NoteBegun(key, origin);
  m_origins.Record(key, origin, m_clock.Now());
  m_ports.send_report(StreamOriginReport{.key = key, .origin = origin},
                      m_ports.keepers(key, kKeepers));
}

void StreamOriginDirectory::NoteEnded(StreamKey key, bool is_complete) {
  m_own_streams.NoteEnded(key, is_complete, m_clock.Now());
}

void StreamOriginDirectory::Restore(const StreamOriginRecord& recorded) {
  const TimePoint now = m_clock.Now();
  m_own_streams.Restore(recorded, now);
  for (const RecordedStream& stream : recorded.streams) {
    m_origins.Record(stream.key, stream.origin, now);
  }
  for (const Duration delay : kRestoreReportDelays) {
    m_loop.Schedule(delay, [this, recorded, alive = std::weak_ptr(m_alive)] {
      if (!alive.expired()) {
        Report(recorded);
      }
    });
  }
}

void StreamOriginDirectory::Report(const StreamOriginRecord& recorded) const {
  for (const RecordedStream& stream : recorded.streams) {
    m_ports.send_report(
        StreamOriginReport{.key = stream.key, .origin = stream.origin},
        m_ports.keepers(stream.key, kKeepers));
  }
}

void StreamOriginDirectory::Step() {
  const TimePoint now = m_clock.Now();
  m_origins.Step(now);
  m_own_streams.Step(m_origins.lifetime(), now);
}

void StreamOriginDirectory::Find(StreamKey key, Callback callback) {
  const std::optional<StreamOrigin> known = m_origins.Find(key, m_clock.Now());
  const std::vector<SocketAddress> keepers =
      known ? std::vector<SocketAddress>() : m_ports.keepers(key, kAskedNodes);
  if (keepers.empty()) {
    callback(known);
    return;
  }
  Lookup& lookup = m_lookups[key];
  lookup.callbacks.push_back(std::move(callback));
  if (lookup.callbacks.size() > 1) {
    return;
  }
  lookup.pending = keepers.size();
  lookup.timer = m_loop.Schedule(kLookupTimeout,
                                 [this, key, alive = std::weak_ptr(m_alive)] {
                                   if (!alive.expired()) {
                                     End(key);
                                   }
                                 });
  m_ports.send_query(StreamOriginQuery{.key = key}, keepers);
}

void StreamOriginDirectory::OnReport(const StreamOriginReport& report) {
  if (!report.is_unknown) {
    m_origins.Record(report.key, report.origin, m_clock.Now());
  }
  const auto lookup = m_lookups.find(report.key);
  if (lookup == m_lookups.end()) {
    return;
  }
  lookup->second.pending -= lookup->second.pending > 0 ? 1 : 0;
  if (!report.is_unknown || lookup->second.pending == 0) {
    End(report.key);
  }
}

void StreamOriginDirectory::OnQuery(const StreamOriginQuery& query,
                                    const SocketAddress& from) {
  const std::optional<StreamOrigin> known =
      m_origins.Find(query.key, m_clock.Now());
  m_ports.send_report(
      StreamOriginReport{.key = query.key,
                         .is_unknown = !known.has_value(),
                         .origin = known.value_or(StreamOrigin{})},
      {from});
}

void StreamOriginDirectory::End(StreamKey key) {
  auto lookup = m_lookups.extract(key);
  if (lookup.empty()) {
    return;
  }
  m_loop.Cancel(lookup.mapped().timer);
  const std::optional<StreamOrigin> origin = m_origins.Find(key, m_clock.Now());
  for (const Callback& callback : lookup.mapped().callbacks) {
    callback(origin);
  }
}

}  // namespace pistachiowalk
