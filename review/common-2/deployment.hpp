// A small deployment on loopback for the scripts of this review: the platform's
// store and cloud API, workers, and gateway processes. Each stand-in follows
// the operators' PROTOCOL.md; where a page is silent it behaves like a sound
// one.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point& StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double Now() {
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// What was sent, answered and run, for record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(fopen(path.c_str(), "w")) {
    if (m_file == nullptr) {
      perror(path.c_str());
      exit(2);
    }
  }
  ~Record() { fclose(m_file); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    fprintf(m_file, "%8.3f  ", Now());
    va_list arguments;
    va_start(arguments, format);
    vfprintf(m_file, format, arguments);
    va_end(arguments);
    fputc('\n', m_file);
    fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  FILE* m_file;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Listens at a free port of `ip` and sets it.
inline int Listen(const std::string& ip, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in local = ToSockaddr({ip, port});
  if (bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(local);
  getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
  port = ntohs(local.sin_port);
  return fd;
}

inline int FreePort(const std::string& ip) {
  int port = 0;
  const int fd = Listen(ip, port);
  if (fd >= 0) {
    close(fd);
  }
  return port;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Connects within `seconds`; returns -1 if that fails.
inline int Connect(const Address& address,
                   double seconds = 1.0,
                   int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in target = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
      0) {
    pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = errno;
    if (error == EINPROGRESS &&
        poll(&wait, 1, static_cast<int>(seconds * 1000)) == 1) {
      socklen_t size = sizeof(error);
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

struct Message {
  // The method and target, or the status.
  std::string method, target;
  int status = 0;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

// Reads HTTP/1.1 messages from a socket.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // Returns false at the end of the connection or after the time.
  bool Read(Message& message, bool is_response, double seconds = 3600.0) {
    const double until = Now() + seconds;
    message = Message{};
    size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    std::istringstream lines(m_input.substr(0, end));
    m_input.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string version;
    if (is_response) {
      first >> version >> message.status;
    } else {
      first >> message.method >> message.target;
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t begin = line.find_first_not_of(" \t", colon + 1);
      message.headers[name] =
          begin == std::string::npos ? "" : line.substr(begin);
    }
    if (message.Header("transfer-encoding") == "chunked") {
      return ReadChunks(message.body, until);
    }
    const size_t length =
        strtoull(message.Header("content-length").c_str(), nullptr, 10);
    while (m_input.size() < length) {
      if (!Fill(until)) {
        return false;
      }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return true;
  }
  // Whether the peer closed or reset the connection, and not merely was silent.
  bool has_ended() const { return m_has_ended; }

 private:
  bool ReadChunks(std::string& body, double until) {
    while (true) {
      size_t end = 0;
      while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const size_t size = strtoull(m_input.c_str(), nullptr, 16);
      while (m_input.size() < end + 2 + size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      body += m_input.substr(end + 2, size);
      m_input.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  bool Fill(double until) {
    const double left = until - Now();
    pollfd wait{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (left <= 0.0 ||
        poll(&wait, 1, static_cast<int>(std::min(left, 1e5) * 1000) + 1) != 1) {
      return false;
    }
    char buffer[65536];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      m_has_ended = true;
      return false;
    }
    m_input.append(buffer, static_cast<size_t>(count));
    return true;
  }

  int m_fd;
  std::string m_input;
  bool m_has_ended = false;
};

// Accepts connections and serves each in a thread.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  Server(const std::string& ip, Serve serve) : m_serve(std::move(serve)) {
    address.ip = ip;
    Start();
  }

  // Listens, at the same address each time.
  void Start() {
    m_fd = Listen(address.ip, address.port);
    if (m_fd < 0) {
      perror("listen");
      exit(2);
    }
    std::thread([this, listener = m_fd] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          close(listener);
          return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_open.insert(fd);
        }
        std::thread([this, fd] {
          m_serve(fd);
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_open.erase(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  // Ends like a process that is killed: resets all channels, and refuses
  // others.
  void Stop() {
    shutdown(m_fd, SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int fd : m_open) {
      const linger discard{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
      shutdown(fd, SHUT_RDWR);
    }
  }

  Address address;

 private:
  Serve m_serve;
  std::mutex m_mutex;
  std::set<int> m_open;
  int m_fd = -1;
};

inline std::string Base64(const std::string& text) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  size_t i = 0;
  for (; i + 2 < text.size(); i += 3) {
    const uint32_t v = (uint8_t(text[i]) << 16) | (uint8_t(text[i + 1]) << 8) |
                       uint8_t(text[i + 2]);
    out += digits[v >> 18];
    out += digits[(v >> 12) & 63];
    out += digits[(v >> 6) & 63];
    out += digits[v & 63];
  }
  if (i + 1 == text.size()) {
    const uint32_t v = uint8_t(text[i]) << 16;
    out += digits[v >> 18];
    out += digits[(v >> 12) & 63];
    out += "==";
  } else if (i + 2 == text.size()) {
    const uint32_t v = (uint8_t(text[i]) << 16) | (uint8_t(text[i + 1]) << 8);
    out += digits[v >> 18];
    out += digits[(v >> 12) & 63];
    out += digits[(v >> 6) & 63];
    out += '=';
  }
  return out;
}

inline std::string Response(int status,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store. Values are kept in base64, as they come and go.
class Store {
 public:
  explicit Store(const std::string& ip)
      : m_server(ip, [this](int fd) { Serve(fd); }) {}

  const Address& address() const { return m_server.address; }

  // While it is down, it answers all calls with 503.
  void SetDown(bool is_down) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_is_down = is_down;
    m_changed.notify_all();
  }
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Change(key, Base64(value), false);
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_items.contains(key)) {
      Change(key, "", true);
    }
  }

 private:
  struct Item {
    std::string value;
    uint64_t rev = 0;
    uint64_t created = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool is_removed = false;
  };

  void Change(const std::string& key,
              const std::string& value,
              bool is_removed) {
    Item& item = m_items[key];
    item.rev = ++m_revision;
    item.created = item.created == 0 ? item.rev : item.created;
    item.value = value;
    m_events.push_back({key, item, is_removed});
    if (is_removed) {
      m_items.erase(key);
    }
    m_changed.notify_all();
  }
  static std::string Json(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"rev\":" + std::to_string(item.rev) +
           ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
  }
  static std::string Query(const std::string& target, const std::string& name) {
    const size_t mark = target.find('?');
    if (mark == std::string::npos) {
      return "";
    }
    std::istringstream pairs(target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
      if (pair.rfind(name + "=", 0) != 0) {
        continue;
      }
      std::string value;
      for (size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(
              strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    return "";
  }
  // The text of the member `name` that begins after `from`.
  static std::string Text(const std::string& body,
                          const std::string& name,
                          size_t from) {
    const std::string mark = "\"" + name + "\":\"";
    const size_t begin = body.find(mark, from);
    if (begin == std::string::npos) {
      return "";
    }
    std::string text;
    for (size_t i = begin + mark.size(); i < body.size() && body[i] != '"';
         ++i) {
      if (body[i] != '\\') {
        text += body[i];
      }
    }
    return text;
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message call;
    while (reader.Read(call, false)) {
      int status = 200;
      const std::string body = Handle(call, status);
      if (!SendAll(fd, Response(status,
                                "Content-Type: application/json\r\n"
                                "Store-Era: 1\r\n",
                                body))) {
        return;
      }
    }
  }
  std::string Handle(const Message& call, int& status) {
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string& target = call.target;
    if (m_is_down) {
      status = 503;
      return "";
    }
    if (target.rfind("/api/kv-key", 0) == 0) {
      const std::string key = Query(target, "key");
      const auto item = m_items.find(key);
      if (item == m_items.end()) {
        status = 404;
        return "{\"as-of\":" + std::to_string(m_revision) + "}";
      }
      std::string body = Json(key, item->second);
      body.pop_back();
      return body + ",\"as-of\":" + std::to_string(m_revision) + "}";
    }
    if (target.rfind("/api/kv-range", 0) == 0) {
      const std::string prefix = Query(target, "path-prefix");
      const std::string after = Query(target, "after");
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          items += (items.empty() ? "" : ",") + Json(key, item);
        }
      }
      return "{\"items\":[" + items +
             "],\"has-more\":false,\"as-of\":" + std::to_string(m_revision) +
             "}";
    }
    if (target.rfind("/api/kv-watch", 0) == 0) {
      const std::string prefix = Query(target, "path-prefix");
      const uint64_t after = strtoull(Query(target, "after").c_str(), 0, 10);
      const auto until =
          Clock::now() +
          std::chrono::milliseconds(atol(Query(target, "wait-ms").c_str()));
      std::string events;
      const auto collect = [&] {
        if (m_is_down) {
          return true;
        }
        for (const Event& event : m_events) {
          if (event.item.rev > after && event.key.rfind(prefix, 0) == 0) {
            events += events.empty() ? "" : ",";
            events += event.is_removed
                          ? "{\"key\":\"" + event.key +
                                "\",\"rev\":" + std::to_string(event.item.rev) +
                                ",\"deleted\":true}"
                          : Json(event.key, event.item);
          }
        }
        return !events.empty();
      };
      m_changed.wait_until(lock, until, collect);
      if (m_is_down) {
        status = 503;
        return "";
      }
      return "{\"events\":[" + events +
             "],\"as-of\":" + std::to_string(m_revision) + "}";
    }
    if (target.rfind("/api/kv-txn", 0) == 0) {
      // The gateway sends one condition and one put.
      const size_t puts = call.body.find("\"puts\"");
      const std::string key = Text(call.body, "key", 0);
      const size_t rev = call.body.find("\"rev\":");
      const uint64_t expected = strtoull(call.body.c_str() + rev + 6, 0, 10);
      const auto item = m_items.find(key);
      const uint64_t current = item == m_items.end() ? 0 : item->second.rev;
      if (current != expected) {
        status = 412;
        return "{\"items\":[" +
               (item == m_items.end() ? "" : Json(key, item->second)) + "]}";
      }
      Change(key, Text(call.body, "value", puts), false);
      return "{\"rev\":" + std::to_string(m_revision) + "}";
    }
    status = 404;
    return "{}";
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  uint64_t m_revision = 1;
  bool m_is_down = false;
  Server m_server;
};

// Accepts all calls of the duties.
class Cloud {
 public:
  explicit Cloud(const std::string& ip)
      : m_server(ip, [](int fd) {
          Reader reader(fd);
          Message call;
          while (reader.Read(call, false) &&
                 SendAll(fd, Response(200, "", "{}"))) {
          }
        }) {}
  const Address& address() const { return m_server.address; }

 private:
  Server m_server;
};

// A worker. Runs each request that names it and answers with `body`.
class Worker {
 public:
  // Answers a request; returns false to close the channel.
  using Run = std::function<bool(int fd, const Message& request)>;

  Worker(const std::string& ip, std::string id, Run run)
      : id(std::move(id)),
        m_run(std::move(run)),
        m_server(ip, [this](int fd) { Serve(fd); }) {}

  const Address& address() const { return m_server.address; }
  // Starts again under the same id and address.
  void Start() {
    born = UnixMilliseconds();
    m_server.Start();
  }
  void Stop() { m_server.Stop(); }
  // Headers of all answers to the request.
  std::string Headers(const Message& request) const {
    return "X-Pistachiowalk-Attempt-Id: " +
           request.Header("x-pistachiowalk-attempt-id") +
           "\r\nX-Pistachiowalk-Server-Seal: " + id + "\r\n";
  }
  std::string Entry(const std::string& service,
                    const std::string& zone,
                    int slots) const {
    return "{\"service\":\"" + service + "\",\"address\":\"" +
           address().Text() + "\",\"zone\":\"" + zone +
           "\",\"version\":\"1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1,\"born\":" +
           std::to_string(born) + "}";
  }

  std::string id;
  std::atomic<int64_t> born = UnixMilliseconds();

 private:
  static int64_t UnixMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false)) {
      if (request.method == "GET" && request.target == "/api/report") {
        if (!SendAll(fd, Response(200, "Content-Type: application/json\r\n",
                                  "{\"stage\":\"mixed\",\"models\":[],\"busy\":"
                                  "false,\"seq\":0,\"queued\":0,\"running\":0,"
                                  "\"kv-used\":0,\"kv-total\":0,\"handles\":0,"
                                  "\"born\":" +
                                      std::to_string(born) + "}"))) {
          return;
        }
        continue;
      }
      if (request.Header("x-pistachiowalk-expect-instance") != id) {
        if (!SendAll(fd,
                     Response(421,
                              "X-Pistachiowalk-Attempt-Id: " +
                                  request.Header("x-pistachiowalk-attempt-id") +
                                  "\r\n",
                              ""))) {
          return;
        }
        continue;
      }
      if (!m_run(fd, request)) {
        return;
      }
    }
  }

  Run m_run;
  Server m_server;
};

// What a gateway's settings file holds beside names and addresses.
struct GatewayLimits {
  int memory_mb = 260;
  int max_fds = 4100;
  double grace_period_s = 8;
};

// A gateway process, started with the deploy file's command.
class Gateway {
 public:
  Gateway(std::string program,
          std::string folder,
          std::string name,
          std::string ip,
          const Address& store,
          const Address& cloud,
          const GatewayLimits& limits)
      : m_program(std::move(program)),
        m_settings(folder + "/" + name + ".json") {
    front = {ip, FreePort(ip)};
    ready = {ip, FreePort(ip)};
    const int internal = FreePort(ip);
    std::ofstream(m_settings)
        << "{\"node-name\":\"" << name << "\",\"role\":\"gateway\","
        << "\"machine-class\":\"front\",\"serves\":[\"front\"],\"ip\":\"" << ip
        << "\",\"zone\":\"zone-a\",\"region\":\"region-a\","
        << "\"zones\":{\"zone-a\":\"region-a\"},\"listen\":{\"front\":\""
        << front.Text() << "\",\"ready\":\"" << ready.Text()
        << "\"},\"internal-ports\":[" << internal << "," << internal + 1
        << "],\"seeds\":[],\"bootstrap\":true,\"limits\":{\"cpu-share\":0.25,"
        << "\"cores\":1,\"memory-mb\":" << limits.memory_mb
        << ",\"max-fds\":" << limits.max_fds
        << ",\"link-mbps\":1000.0,\"disk-mb\":0},\"data-dir\":null,"
        << "\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat-ms\":1200,"
        << "\"bounds\":{\"contact-ms\":4000,\"drain-ms\":2500,"
        << "\"grace-period-s\":" << limits.grace_period_s
        << ",\"loss-slack-ms\":200,\"config-apply-ms\":2500,"
        << "\"rollback-slack-ms\":250,\"outer-bound-ms\":6000,"
        << "\"retry-budget-ratio\":0.2,\"budget-window-s\":10,"
        << "\"budget-slack\":56,\"quota-window-s\":8,\"quota-overage\":0.1,"
        << "\"quota-slack\":110000,\"fencing-required\":true,"
        << "\"lease-ms\":3000,\"usage-window-s\":5,\"usage-tolerance\":0.05,"
        << "\"usage-late-s\":10,\"recovery-s\":12},\"platform\":{\"address\":\""
        << store.Text()
        << "\",\"form\":\"kv\",\"writes-per-s\":400,\"reads-per-s\":2000,"
        << "\"history-s\":20,\"value-bytes\":1048576,\"ttl-min-ms\":1000},"
        << "\"cloud-api\":{\"address\":\"" << cloud.Text()
        << "\",\"rate-per-s\":50.0,\"duties\":[\"usage\",\"scale\"],"
        << "\"duty-per-s\":50.0}}";
    m_log = folder + "/" + name + ".log";
  }
  ~Gateway() { Kill(); }

  void Start() {
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("PISTACHIOWALK_CONFIG", m_settings.c_str(), 1);
      const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(m_program.c_str(), m_program.c_str(), nullptr);
      _exit(127);
    }
    m_pid = pid;
  }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = 0;
    }
  }
  // Whether the process ended by itself; reaps it.
  bool HasEnded(int& status) {
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = 0;
      return true;
    }
    return false;
  }
  // Resident memory in MB, as the kernel counts it.
  double MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return atof(line.c_str() + 6) / 1024.0;
      }
    }
    return 0.0;
  }
  bool IsReady() const {
    const int fd = Connect(ready, 0.5);
    if (fd < 0) {
      return false;
    }
    Message answer;
    Reader reader(fd);
    const bool is_ready =
        SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
        reader.Read(answer, true, 1.0) && answer.status == 200;
    close(fd);
    return is_ready;
  }
  bool WaitReady(double seconds) const {
    const double until = Now() + seconds;
    while (Now() < until) {
      if (IsReady()) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }
  pid_t pid() const { return m_pid; }

  Address front, ready;

 private:
  std::string m_program, m_settings, m_log;
  pid_t m_pid = 0;
};

// A loopback address that no other run is likely to use, so that the fixed
// port of the gateway's metrics is free there too.
inline std::string LoopbackIp(int host) {
  static const unsigned net = [] {
    std::random_device random;
    return random();
  }();
  return "127." + std::to_string(100 + net % 100) + "." +
         std::to_string(1 + (net / 100) % 250) + "." + std::to_string(host);
}

inline std::string RandomId() {
  static thread_local std::mt19937_64 random{std::random_device{}()};
  char text[17];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(random()));
  return text;
}

inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
