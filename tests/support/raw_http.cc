#include "support/raw_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace pistachiowalk::testing {
namespace {

int Connect(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Reads until the peer closes the connection, no byte arrives for `timeout_ms`,
// or the response contains `until_text`, unless that is empty.
std::string Read(int fd, int timeout_ms, const std::string& until_text) {
  std::string response;
  char buffer[16384];
  pollfd wait{.fd = fd, .events = POLLIN, .revents = 0};
  while (poll(&wait, 1, timeout_ms) > 0) {
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      break;
    }
    response.append(buffer, static_cast<size_t>(count));
    if (!until_text.empty() && response.find(until_text) != std::string::npos) {
      break;
    }
  }
  return response;
}

std::string SendAndRead(uint16_t port,
                        const std::string& bytes,
                        int timeout_ms,
                        const std::string& until_text) {
  const int fd = Connect(port);
  if (fd < 0) {
    return "";
  }
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<size_t>(count);
  }
  std::string response = Read(fd, timeout_ms, until_text);
  close(fd);
  return response;
}

}  // namespace

std::string Exchange(uint16_t port, const std::string& bytes, int timeout_ms) {
  return SendAndRead(port, bytes, timeout_ms, "");
}

std::string ExchangeUntil(uint16_t port,
                          const std::string& bytes,
                          const std::string& until_text) {
  constexpr int kTimeoutMs = 20000;
  return SendAndRead(port, bytes, kTimeoutMs, until_text);
}

std::string HttpRequest(const std::string& method,
                        const std::string& path,
                        const std::string& headers,
                        const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

std::string Call(uint16_t port,
                 const std::string& method,
                 const std::string& path,
                 const std::string& headers,
                 const std::string& body) {
  return Exchange(port, HttpRequest(method, path, headers, body));
}

int StatusOf(const std::string& response) {
  constexpr size_t kStatusOffset = 9;
  return response.size() > kStatusOffset
             ? std::atoi(response.c_str() + kStatusOffset)
             : 0;
}

}  // namespace pistachiowalk::testing
