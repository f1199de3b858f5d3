#include "serving/own_streams.h"

#include <map>

namespace pistachiowalk {

void OwnStreams::NoteBegun(StreamKey key, const StreamOrigin& origin) {
  m_streams[key] = Stream{.origin = origin};
  ++m_revision;
}

void OwnStreams::NoteEnded(StreamKey key, bool is_complete, TimePoint now) {
  const auto stream = m_streams.find(key);
  if (stream == m_streams.end()) {
    return;
  }
  if (is_complete) {
    m_streams.erase(stream);
  } else {
    stream->second.broken_at = now;
  }
}

void OwnStreams::Restore(const StreamOriginRecord& recorded, TimePoint now) {
  for (const RecordedStream& stream : recorded.streams) {
    m_streams.try_emplace(stream.key,
                          Stream{.origin = stream.origin, .broken_at = now});
  }
  ++m_revision;
}

void OwnStreams::Step(Duration lifetime, TimePoint now) {
  std::erase_if(m_streams, [&](const auto& stream) {
    return stream.second.broken_at &&
           now - *stream.second.broken_at >= lifetime;
  });
}

StreamOriginRecord OwnStreams::Record(
    const std::function<bool(const ServiceName&)>& is_needed) const {
  std::map<ServiceName, bool> needed;
  StreamOriginRecord record;
  for (const auto& [key, stream] : m_streams) {
    const ServiceName& service = stream.origin.service;
    auto known = needed.find(service);
    if (known == needed.end()) {
      known = needed.emplace(service, is_needed(service)).first;
    }
    if (known->second && record.streams.size() < kMaximumRecordedStreams) {
      record.streams.push_back(
          RecordedStream{.key = key, .origin = stream.origin});
    }
  }
  return record;
}

}  // namespace pistachiowalk
