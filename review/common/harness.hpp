// Stand-ins for the review's scripts: the platform's store and cloud API,
// workers, callers, and the gateway as a separate process. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Writes record.txt: what was sent, answered and run, with milliseconds since
// the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(Clock::now() - m_started_at)
            .count();
    m_file << ms << " ms  " << text << std::endl;
  }

 private:
  std::mutex m_mutex;
  Clock::time_point m_started_at = Clock::now();
  std::ofstream m_file;
};

inline Record& TheRecord() {
  static Record record(std::getenv("RECORD") ? std::getenv("RECORD")
                                             : "record.txt");
  return record;
}

inline void Note(const std::string& text) {
  TheRecord().Line(text);
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// A loopback address that other runs hardly use; the gateway's metrics port is
// the same on every address.
inline std::string RandomIp() {
  static std::mt19937 random(std::random_device{}());
  return "127." + std::to_string(20 + random() % 200) + "." +
         std::to_string(random() % 250) + "." +
         std::to_string(2 + random() % 250);
}

inline int Listen(Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in local = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  socklen_t size = sizeof(local);
  getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
  address.port = ntohs(local.sin_port);
  return fd;
}

// A port that no socket uses; the same one is not returned twice.
inline uint16_t FreePort(const std::string& ip) {
  static std::set<uint16_t> returned;
  while (true) {
    Address address{ip, 0};
    close(Listen(address));
    if (returned.insert(address.port).second) {
      return address.port;
    }
  }
}

// A blocking connection with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const Address& address,
                                          int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    const sockaddr_in peer = ToSockaddr(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
  }
  // Appends received bytes to the buffer. False at the end, a reset or a
  // timeout; `ended_by_reset` and `timed_out` tell them apart.
  bool Receive(int timeout_ms = 30000) {
    pollfd poll_fd{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (poll(&poll_fd, 1, timeout_ms) <= 0) {
      timed_out = true;
      return false;
    }
    char bytes[65536];
    if (pause_ms > 0) {
      SleepMs(pause_ms);
    }
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      ended_by_reset = count < 0;
      is_ended = true;
      return false;
    }
    buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }
  // Closes without a FIN, as a peer that crashed with unread bytes.
  void Reset() {
    const linger hard{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }
  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  int fd() const { return m_fd; }

  std::string buffer;
  // Waits this long before each read, as a link with a small window and this
  // round trip does.
  int pause_ms = 0;
  bool timed_out = false;
  bool ended_by_reset = false;
  bool is_ended = false;

 private:
  int m_fd;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  // The message ended as its framing says.
  bool is_complete = false;
  bool has_head = false;
  // A response without a length that ended with its connection.
  bool until_close = false;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(Lower(name));
    return it == headers.end() ? "" : it->second;
  }
  int status() const {
    return has_head ? std::atoi(first_line.c_str() + 9) : 0;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const size_t start = first_line.find(' ') + 1;
    return first_line.substr(start, first_line.find(' ', start) - start);
  }
};

// Reads one request or response.
inline Message ReadMessage(Connection& connection,
                           bool is_response,
                           int timeout_ms = 30000) {
  Message message;
  size_t end = 0;
  while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.Receive(timeout_ms)) {
      return message;
    }
  }
  std::string head = connection.buffer.substr(0, end + 2);
  connection.buffer.erase(0, end + 4);
  size_t line = head.find("\r\n");
  message.first_line = head.substr(0, line);
  message.has_head = true;
  while (line + 2 < head.size()) {
    const size_t start = line + 2;
    line = head.find("\r\n", start);
    const std::string text = head.substr(start, line - start);
    const size_t colon = text.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') {
        ++value;
      }
      message.headers[Lower(text.substr(0, colon))] = text.substr(value);
    }
  }
  if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t size_end = 0;
      while ((size_end = connection.buffer.find("\r\n")) == std::string::npos) {
        if (!connection.Receive(timeout_ms)) {
          return message;
        }
      }
      const size_t size = std::strtoull(connection.buffer.c_str(), nullptr, 16);
      connection.buffer.erase(0, size_end + 2);
      while (connection.buffer.size() < size + 2) {
        if (!connection.Receive(timeout_ms)) {
          message.body += connection.buffer.substr(
              0, std::min(size, connection.buffer.size()));
          return message;
        }
      }
      message.body += connection.buffer.substr(0, size);
      connection.buffer.erase(0, size + 2);
      if (size == 0) {
        message.is_complete = true;
        return message;
      }
    }
  }
  if (!message.Header("Content-Length").empty() || !is_response) {
    const size_t length =
        std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
    while (connection.buffer.size() < length) {
      if (!connection.Receive(timeout_ms)) {
        message.body = std::exchange(connection.buffer, {});
        return message;
      }
    }
    message.body = connection.buffer.substr(0, length);
    connection.buffer.erase(0, length);
    message.is_complete = true;
    return message;
  }
  message.until_close = true;
  while (connection.Receive(timeout_ms)) {
  }
  message.body = std::exchange(connection.buffer, {});
  message.is_complete = connection.is_ended && !connection.ended_by_reset;
  return message;
}

inline std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) +
                     (status == 200 ? " OK" : " Status") + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Serves each connection in a thread of its own. `handler` returns whether the
// connection stays open.
class Server {
 public:
  using Handler = std::function<bool(const Message& request, Connection&)>;

  Server(const std::string& ip, Handler handler)
      : m_address{ip, 0}, m_handler(std::move(handler)) {
    StartListening();
  }
  const Address& address() const { return m_address; }
  // Refuses new connections, and resets the open ones but `ended`, which the
  // handler closes. Handlers of the others return once is_down() is set.
  void Crash(const Connection& ended) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_is_down = true;
    shutdown(m_fd, SHUT_RDWR);
    close(m_fd);
    const linger hard{.l_onoff = 1, .l_linger = 0};
    for (const int fd : m_open) {
      if (fd != ended.fd()) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      }
    }
  }
  bool is_down() const { return m_is_down; }

 private:
  void StartListening() {
    m_fd = Listen(m_address);
    std::thread([this, listener = m_fd.load()] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (m_is_down || errno == EINVAL || errno == EBADF) {
            return;
          }
          continue;
        }
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  void Serve(int fd) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_open.insert(fd);
    }
    Connection connection(fd);
    while (!m_is_down) {
      const Message request = ReadMessage(connection, false, 600000);
      if (!request.is_complete || m_is_down ||
          !m_handler(request, connection)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.erase(fd);
    connection.Close();
  }

  Address m_address;
  Handler m_handler;
  std::atomic<int> m_fd{-1};
  std::atomic<bool> m_is_down{false};
  std::mutex m_mutex;
  std::set<int> m_open;
};

inline std::string Base64(const std::string& in) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t n = static_cast<unsigned char>(in[i]) << 16;
    n |= i + 1 < in.size() ? static_cast<unsigned char>(in[i + 1]) << 8 : 0;
    n |= i + 2 < in.size() ? static_cast<unsigned char>(in[i + 2]) : 0;
    out += kDigits[n >> 18];
    out += kDigits[(n >> 12) & 63];
    out += i + 1 < in.size() ? kDigits[(n >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kDigits[n & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& in) {
  std::string out;
  uint32_t n = 0;
  int bits = 0;
  for (const char c : in) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      break;
    }
    n = (n << 6) | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((n >> bits) & 255);
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    const size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const size_t equals = pair.find('=');
    std::string value;
    for (size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value += static_cast<char>(
            std::strtoul(pair.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    query[pair.substr(0, equals)] = value;
    at = next;
  }
  return query;
}

// The platform's metadata store. Loses nothing, answers at once.
class Store {
 public:
  explicit Store(const std::string& ip)
      : m_server(ip, [this](const Message& request, Connection& connection) {
          return Serve(request, connection);
        }) {}
  const Address& address() const { return m_server.address(); }
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    PutLocked(key, value);
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    RemoveLocked(key);
  }
  std::string Get(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_items.find(key);
    return it == m_items.end() ? "" : it->second.value;
  }
  // Called for each request before it is handled; false closes the connection.
  std::function<bool(const Message&)> before;

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Change {
    std::string key;
    uint64_t revision = 0;
    std::optional<Item> item;
  };

  void PutLocked(const std::string& key, const std::string& value) {
    Item& item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    m_changes.push_back(Change{key, m_revision, item});
    m_changed.notify_all();
  }
  void RemoveLocked(const std::string& key) {
    if (m_items.erase(key) > 0) {
      m_changes.push_back(Change{key, ++m_revision, std::nullopt});
      m_changed.notify_all();
    }
  }
  static json::object ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"rev", item.revision},
            {"created", item.created},
            {"lease", 0}};
  }
  static bool Answer(Connection& connection,
                     int status,
                     const json::object& body) {
    return connection.Send(MakeResponse(
        status, {{"Content-Type", "application/json"}}, json::serialize(body)));
  }
  json::array Events(const std::string& prefix, uint64_t after) const {
    json::array events;
    for (const Change& change : m_changes) {
      if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
        continue;
      }
      if (change.item) {
        events.push_back(ToJson(change.key, *change.item));
      } else {
        events.push_back(json::object{
            {"key", change.key}, {"rev", change.revision}, {"deleted", true}});
      }
    }
    return events;
  }
  bool Serve(const Message& request, Connection& connection) {
    if (before && !before(request)) {
      return false;
    }
    const std::string target = request.target();
    auto query = Query(target);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (target.rfind("/api/kv-key", 0) == 0) {
      const auto it = m_items.find(query["key"]);
      if (it == m_items.end()) {
        return Answer(connection, 404, {{"as-of", m_revision}});
      }
      json::object body = ToJson(it->first, it->second);
      body["as-of"] = m_revision;
      return Answer(connection, 200, body);
    }
    if (target.rfind("/api/kv-range", 0) == 0) {
      json::array items;
      const std::string prefix = query["path-prefix"];
      for (auto it = m_items.upper_bound(std::max(prefix, query["after"]));
           it != m_items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        items.push_back(ToJson(it->first, it->second));
      }
      return Answer(
          connection, 200,
          {{"items", items}, {"has-more", false}, {"as-of", m_revision}});
    }
    if (target.rfind("/api/kv-watch", 0) == 0) {
      const uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
      const std::string prefix = query["path-prefix"];
      m_changed.wait_for(lock,
                         milliseconds(std::atoi(query["wait-ms"].c_str())),
                         [&] { return !Events(prefix, after).empty(); });
      const json::object body{{"events", Events(prefix, after)},
                              {"as-of", m_revision}};
      lock.unlock();
      return Answer(connection, 200, body);
    }
    if (target.rfind("/api/kv-txn", 0) == 0) {
      const json::object body = json::parse(request.body).as_object();
      json::array current;
      bool is_met = true;
      for (const json::value& row : body.at("expected-rev").as_array()) {
        const std::string key(row.at("key").as_string());
        const auto it = m_items.find(key);
        const uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
        is_met &= revision == row.at("rev").to_number<uint64_t>();
        if (it != m_items.end()) {
          current.push_back(ToJson(key, it->second));
        }
      }
      if (!is_met) {
        return Answer(connection, 412, {{"items", current}});
      }
      for (const json::value& row : body.at("puts").as_array()) {
        PutLocked(std::string(row.at("key").as_string()),
                  FromBase64(std::string(row.at("value").as_string())));
      }
      for (const json::value& key : body.at("remove").as_array()) {
        RemoveLocked(std::string(key.as_string()));
      }
      return Answer(connection, 200, {{"rev", m_revision}});
    }
    return Answer(connection, 404, {});
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_changes;
  uint64_t m_revision = 100;
  Server m_server;
};

// The platform's duty calls: accepts those whose fence number is not lower than
// one seen before.
class Cloud {
 public:
  explicit Cloud(const std::string& ip)
      : m_server(ip, [this](const Message& request, Connection& connection) {
          return Serve(request, connection);
        }) {}
  const Address& address() const { return m_server.address(); }

 private:
  bool Serve(const Message& request, Connection& connection) {
    const uint64_t fence = std::strtoull(
        request.Header("X-Pistachiowalk-Fencing-Token").c_str(), nullptr, 10);
    const std::lock_guard<std::mutex> lock(m_mutex);
    uint64_t& seen = m_seen[request.target()];
    const bool is_stale = fence < seen;
    seen = std::max(seen, fence);
    return connection.Send(MakeResponse(is_stale ? 409 : 200, {}, ""));
  }

  std::mutex m_mutex;
  std::map<std::string, uint64_t> m_seen;
  Server m_server;
};

struct GatewaySpec {
  std::string name;
  std::string ip;
  std::string zone = "praha-a";
  Address store;
  Address cloud;
  uint16_t peers_port = 0;
};

inline std::set<pid_t>& StartedProcesses() {
  static std::set<pid_t> processes;
  return processes;
}

// Ends the processes that the script started, then the script itself: the
// threads of the stand-ins are not joined.
[[noreturn]] inline void Finish(int result) {
  for (const pid_t process : StartedProcesses()) {
    kill(process, SIGCONT);
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  Note(result == kHeld     ? "result: the rule held"
       : result == kBroken ? "result: the rule was broken"
                           : "result: the case could not run");
  std::fflush(nullptr);
  _exit(result);
}

// The command of the role in the deploy file, as a separate process.
class Gateway {
 public:
  Gateway(GatewaySpec spec, const std::string& folder)
      : m_spec(std::move(spec)),
        m_settings(folder + "/" + m_spec.name + ".json"),
        m_log(folder + "/" + m_spec.name + ".log") {
    m_front = Address{m_spec.ip, FreePort(m_spec.ip)};
    m_ready = Address{m_spec.ip, FreePort(m_spec.ip)};
    if (m_spec.peers_port == 0) {
      m_spec.peers_port = FreePort(m_spec.ip);
    }
    const json::object settings{
        {"node-name", m_spec.name},
        {"role", "gateway"},
        {"machine-class", "front"},
        {"serves", json::array{"front"}},
        {"ip", m_spec.ip},
        {"zone", m_spec.zone},
        {"region", "praha"},
        {"zones", json::object{{"praha-a", "praha"},
                               {"brno-a", "brno"},
                               {"ostrava-a", "ostrava"}}},
        {"listen",
         json::object{{"front", m_front.Text()}, {"ready", m_ready.Text()}}},
        {"internal-ports",
         json::array{m_spec.peers_port, m_spec.peers_port + 1}},
        {"bootstrap", true},
        {"limits", json::object{{"cpu-share", 0.25},
                                {"cores", 1},
                                {"memory-mb", 260},
                                {"max-fds", 4100},
                                {"link-mbps", 1000.0},
                                {"disk-mb", 0}}},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat-ms", 1200},
        {"bounds", json::object{{"contact-ms", 4000},
                                {"drain-ms", 2500},
                                {"grace-period-s", 8},
                                {"loss-slack-ms", 200},
                                {"config-apply-ms", 2500},
                                {"rollback-slack-ms", 250},
                                {"retry-budget-ratio", 0.2},
                                {"budget-window-s", 10},
                                {"budget-slack", 54},
                                {"quota-window-s", 8},
                                {"quota-overage", 0.1},
                                {"quota-slack", 110000},
                                {"fencing-required", true},
                                {"lease-ms", 3000},
                                {"usage-window-s", 5},
                                {"usage-late-s", 10}}},
        {"platform", json::object{{"address", m_spec.store.Text()},
                                  {"form", "kv"},
                                  {"writes-per-s", 400},
                                  {"reads-per-s", 2000},
                                  {"history-s", 20},
                                  {"value-bytes", 1048576},
                                  {"ttl-min-ms", 1000}}},
        {"cloud-api", json::object{{"address", m_spec.cloud.Text()},
                                   {"duties", json::array{"usage", "scale"}},
                                   {"duty-per-s", 50.0}}}};
    std::ofstream(m_settings) << json::serialize(settings);
  }
  ~Gateway() { Kill(); }
  const Address& front() const { return m_front; }
  const std::string& name() const { return m_spec.name; }

  void Start() {
    m_exit.reset();
    m_pid = fork();
    if (m_pid == 0) {
      const char* program = std::getenv("GATEWAY");
      setenv("PISTACHIOWALK_CONFIG", m_settings.c_str(), 1);
      std::freopen(m_log.c_str(), "a", stdout);
      std::freopen(m_log.c_str(), "a", stderr);
      execl(program, program, nullptr);
      _exit(127);
    }
    StartedProcesses().insert(m_pid);
    Note("started " + m_spec.name + ", callers at " + m_front.Text());
  }
  // Waits until the readiness check is answered with 200, as the platform asks.
  bool WaitReady(int timeout_ms = 8000) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    while (Clock::now() < until && !HasEnded()) {
      if (const auto connection = Connection::Open(m_ready)) {
        connection->Send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        if (ReadMessage(*connection, true, 1000).status() == 200) {
          Note(m_spec.name + " is ready");
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }
  void Signal(int signal_number, const std::string& text) {
    if (m_pid > 0 && !HasEnded()) {
      Note(text + " to " + m_spec.name);
      kill(m_pid, signal_number);
    }
  }
  bool HasEnded() {
    if (m_pid <= 0 || m_exit) {
      return true;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_exit = status;
      StartedProcesses().erase(m_pid);
      Note(m_spec.name + " ended: " + ExitText());
      return true;
    }
    return false;
  }
  // Resident memory in bytes, as the platform sees it.
  uint64_t Memory() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
  }
  std::string ExitText() const {
    if (!m_exit) {
      return "running";
    }
    return WIFSIGNALED(*m_exit)
               ? "signal " + std::to_string(WTERMSIG(*m_exit))
               : "exit code " + std::to_string(WEXITSTATUS(*m_exit));
  }
  void Kill() {
    if (m_pid > 0 && !HasEnded()) {
      kill(m_pid, SIGCONT);
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      StartedProcesses().erase(m_pid);
      m_exit = SIGKILL;
    }
  }

 private:
  GatewaySpec m_spec;
  std::string m_settings;
  std::string m_log;
  Address m_front;
  Address m_ready;
  pid_t m_pid = -1;
  std::optional<int> m_exit;
};

// The script's temporary folder, for settings and logs.
inline std::string Folder() {
  const char* folder = std::getenv("WORK");
  return folder == nullptr ? "." : folder;
}

inline std::string WorkerEntry(const std::string& service,
                               const Address& address,
                               const std::string& state,
                               int slots) {
  return json::serialize(json::object{{"service", service},
                                      {"address", address.Text()},
                                      {"zone", "praha-a"},
                                      {"version", "v1"},
                                      {"slots", slots},
                                      {"state", state},
                                      {"cold-remaining-ms", 0},
                                      {"born", UnixMs()},
                                      {"seq", 1}});
}

// A worker's slots: requests beyond them wait.
class Slots {
 public:
  explicit Slots(int count) : m_free(count) {}
  void Acquire() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_freed.wait(lock, [&] { return m_free > 0; });
    --m_free;
  }
  void Release() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_free;
    m_freed.notify_one();
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_freed;
  int m_free;
};

// A request of a caller, as on the protocol page.
inline std::string MakeRequest(
    const std::string& method,
    const std::string& target,
    const std::string& id,
    const std::string& key,
    int deadline_ms,
    const std::vector<std::pair<std::string, std::string>>& headers = {},
    const std::string& body = "") {
  std::string text =
      method + " " + target +
      " HTTP/1.1\r\nHost: ficu95.example\r\n"
      "X-Pistachiowalk-Attempt-Id: " +
      id + "\r\nX-Pistachiowalk-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\n";
  if (!key.empty()) {
    text += "X-Pistachiowalk-Credential: " + key + "\r\n";
  }
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline std::string NewId() {
  static std::mt19937_64 random(std::random_device{}());
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
