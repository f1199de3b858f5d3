#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <thread>

#include "net/http_client.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

// A server that responds to the first request of each connection and closes
// the connection without a response when it receives a second one.
class ClosingServer {
 public:
  ClosingServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0) {
      std::abort();
    }
    listen(m_listener, 8);
    socklen_t length = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }
  int requests() const { return m_requests; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(m_listener, nullptr, nullptr);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    char buffer[4096];
    if (recv(fd, buffer, sizeof(buffer), 0) > 0) {
      ++m_requests;
      const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    if (recv(fd, buffer, sizeof(buffer), 0) > 0) {
      ++m_requests;
    }
    close(fd);
  }

  int m_listener;
  uint16_t m_port = 0;
  std::atomic<int> m_requests = 0;
};

HttpCallResult CallOnce(EventLoop& loop,
                        HttpClient& client,
                        const std::string& url,
                        ConnectionReuse reuse) {
  HttpCallOptions options;
  options.method = "POST";
  options.url = url;
  options.reuse = reuse;
  options.total_timeout = std::chrono::milliseconds(5000);
  HttpCallResult answer;
  HttpCallHandlers handlers;
  handlers.on_done = [&](const HttpCallResult& result) {
    answer = result;
    loop.Stop();
  };
  client.Start(std::move(options), std::move(handlers));
  loop.Run();
  return answer;
}

}  // namespace

Test(http_call, an_unreachable_server_gives_not_connected) {
  EventLoop loop;
  HttpClient client(loop);
  const HttpCallResult result = CallOnce(loop, client, "http://127.0.0.1:1/",
                                         ConnectionReuse::kForbidden);
  cr_assert(result.status == HttpCallStatus::kNotConnected);
}

// Guards against a duplicated request: libcurl sends a request again if the
// server closes the pooled connection it was sent on, so a call that must not
// be repeated must not use a pooled connection.
Test(http_call, a_call_with_forbidden_reuse_is_sent_once) {
  ClosingServer server;
  EventLoop loop;
  HttpClient client(loop);
  CallOnce(loop, client, server.Url(), ConnectionReuse::kAllowed);
  cr_assert(server.requests() == 1);
  CallOnce(loop, client, server.Url(), ConnectionReuse::kForbidden);
  cr_assert(server.requests() == 2);
}

Test(http_call, allowed_reuse_may_be_sent_twice) {
  ClosingServer server;
  EventLoop loop;
  HttpClient client(loop);
  CallOnce(loop, client, server.Url(), ConnectionReuse::kAllowed);
  CallOnce(loop, client, server.Url(), ConnectionReuse::kAllowed);
  cr_assert(server.requests() == 3);
}
