#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "following/stream_origin_message.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"
#include "serving/own_streams.h"
#include "serving/stream_origins.h"

namespace pistachiowalk {

// Finds the origin of a stream that another node may have begun.
//
// Each node tells a few others of the streams that it begins, chosen by the
// stream, so that its end loses none of them. A node that is asked to continue
// a stream asks the nodes that rank first for it. What a node has recorded of
// its streams is told again when it has started again.
class StreamOriginDirectory {
 public:
  using Callback =
      std::function<void(const std::optional<StreamOrigin>& origin)>;
  struct Ports {
    // Up to `count` other nodes that respond, the best for the stream first.
    std::function<std::vector<SocketAddress>(StreamKey key, size_t count)>
        keepers;
    std::function<void(const StreamOriginReport& report,
                       const std::vector<SocketAddress>& receivers)>
        send_report;
    std::function<void(const StreamOriginQuery& query,
                       const std::vector<SocketAddress>& receivers)>
        send_query;
  };

  StreamOriginDirectory(EventLoop& loop, const Clock& clock, Ports ports);

  void ExtendLifetime(Duration lifetime) { m_origins.ExtendLifetime(lifetime); }
  // Called before the first bytes of a stream are passed on.
  void NoteBegun(StreamKey key, const StreamOrigin& origin);
  void NoteEnded(StreamKey key, bool is_complete);
  // Called with what this node recorded before it was started again.
  void Restore(const StreamOriginRecord& recorded);
  const OwnStreams& own_streams() const { return m_own_streams; }
  // Calls `callback` once, later or at once; with nullopt if no node that
  // responds knows the stream.
  void Find(StreamKey key, Callback callback);
  void OnReport(const StreamOriginReport& report);
  void OnQuery(const StreamOriginQuery& query, const SocketAddress& from);
  // Must be called periodically.
  void Step();
  size_t size() const { return m_origins.size(); }

 private:
  struct Lookup {
    std::vector<Callback> callbacks;
    // Nodes that have not answered.
    size_t pending = 0;
    TimerId timer = 0;
  };

  void End(StreamKey key);
  // Tells the keepers of `recorded`.
  void Report(const StreamOriginRecord& recorded) const;

  EventLoop& m_loop;
  const Clock& m_clock;
  Ports m_ports;
  StreamOrigins m_origins;
  OwnStreams m_own_streams;
  std::map<StreamKey, Lookup> m_lookups;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
