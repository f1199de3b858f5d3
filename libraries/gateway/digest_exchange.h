#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "following/data_center_digest.h"
#include "following/followed_histories.h"
#include "following/list_confirmation.h"
#include "following/node_digest.h"
#include "following/stream_origin_message.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"
#include "rollout/rollout_announcement.h"
#include "rollout/rollout_report.h"
#include "serving/endpoint_capacity_report.h"
#include "serving/prefix_announcements.h"
#include "serving/quarantine_state.h"
#include "serving/worker_limit_report.h"

namespace pistachiowalk {

// Sends and receives digests as UDP datagrams.
class DigestExchange {
 public:
  struct Handlers {
    std::function<void(const NodeDigest& digest, const SocketAddress& from)>
        node;
    std::function<void(const DataCenterDigest& digest)> data_center;
    std::function<void(const FollowedHistories& histories)> histories;
    std::function<void(const ListConfirmation& confirmation)> confirmation;
    std::function<void(const TimedQuarantineState& state)> quarantine;
    std::function<void(const WorkerLimitState& state)> worker_limits;
    std::function<void(const EndpointCapacityState& state)> endpoint_capacities;
    std::function<void(const StreamOriginReport& report)> stream_origin;
    std::function<void(const StreamOriginQuery& query,
                       const SocketAddress& from)>
        stream_query;
    std::function<void(const ReadPrefixes& prefixes, const SocketAddress& from)>
        read_prefixes;
    std::function<void(const RolloutAnnouncement& announcement,
                       const SocketAddress& from)>
        rollout_announcement;
    std::function<void(const RolloutReport& report)> rollout_report;
  };

  // Errors: NetError if the address cannot be bound.
  static boost::leaf::result<std::unique_ptr<DigestExchange>>
  Create(EventLoop& loop, const SocketAddress& address, Handlers handlers);
  ~DigestExchange();
  DigestExchange(const DigestExchange&) = delete;
  DigestExchange& operator=(const DigestExchange&) = delete;

  void Send(const NodeDigest& digest,
            const std::vector<SocketAddress>& receivers);
  void Send(const DataCenterDigest& digest,
            const std::vector<SocketAddress>& receivers);
  void Send(const FollowedHistories& histories,
            const std::vector<SocketAddress>& receivers);
  void Send(const ListConfirmation& confirmation,
            const std::vector<SocketAddress>& receivers);
  void Send(const TimedQuarantineState& state,
            const std::vector<SocketAddress>& receivers);
  void Send(const WorkerLimitState& state,
            const std::vector<SocketAddress>& receivers);
  void Send(const EndpointCapacityState& state,
            const std::vector<SocketAddress>& receivers);
  void Send(const StreamOriginReport& report,
            const std::vector<SocketAddress>& receivers);
  void Send(const StreamOriginQuery& query,
            const std::vector<SocketAddress>& receivers);
  void Send(const ReadPrefixes& prefixes,
            const std::vector<SocketAddress>& receivers);
  void Send(const RolloutAnnouncement& announcement,
            const std::vector<SocketAddress>& receivers);
  void Send(const RolloutReport& report,
            const std::vector<SocketAddress>& receivers);

 private:
  DigestExchange(EventLoop& loop, int fd, Handlers handlers);
  void OnReadable();
  // Decodes a datagram and calls its handler; false if it is not a valid
  // digest.
  bool Deliver(std::string_view bytes, const SocketAddress& from) const;
  void SendBytes(const std::string& bytes,
                 const std::vector<SocketAddress>& receivers);

  EventLoop& m_loop;
  int m_fd;
  Handlers m_handlers;
};

}  // namespace pistachiowalk
