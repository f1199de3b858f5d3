#pragma once

#include <string>
#include <vector>

#include "http1/tcp_connection.h"
#include "net/event_loop.h"

namespace pistachiowalk::testing {

// What each client of a crowd sends: the same request `requests` times, without
// waiting for the responses.
struct Pipeline {
  std::string request;
  size_t requests = 1;
  // Clients that read nothing at all are reset by the kernel after some
  // seconds; the others read a little now and then.
  bool reads_slowly = true;
};

// Clients that send requests ahead and leave the responses unread.
class PipeliningCrowd {
 public:
  PipeliningCrowd(EventLoop& loop,
                  const SocketAddress& address,
                  const Pipeline& pipeline,
                  size_t clients);
  ~PipeliningCrowd();
  PipeliningCrowd(const PipeliningCrowd&) = delete;
  PipeliningCrowd& operator=(const PipeliningCrowd&) = delete;

 private:
  struct Client {
    TcpConnectionPtr connection;
    size_t sent_requests = 0;
  };
  void SendMore();
  void ReadSome();

  EventLoop& m_loop;
  Pipeline m_pipeline;
  // As many requests as are sent at once.
  std::string m_part;
  size_t m_part_requests = 0;
  std::vector<Client> m_clients;
  TimerId m_send_timer = 0;
  TimerId m_read_timer = 0;
};

}  // namespace pistachiowalk::testing
