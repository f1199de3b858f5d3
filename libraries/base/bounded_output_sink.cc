#include "base/bounded_output_sink.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>

namespace pistachiowalk {
namespace {

// About one second of log lines at the highest load. Warnings and errors may
// use the whole buffer, other lines three quarters of it.
constexpr size_t kBufferBytes = 256 * 1024;
constexpr size_t kBelowWarningLimitBytes = kBufferBytes / 4 * 3;
// The buffer is flushed when it reaches this size.
constexpr size_t kFlushBytes = 8 * 1024;

}  // namespace

BoundedOutputSink::BoundedOutputSink(int fd) : m_fd(fd) {
  const int flags = fcntl(m_fd, F_GETFL, 0);
  if (flags >= 0) {
    fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
  }
}

void BoundedOutputSink::sink_it_(const spdlog::details::log_msg& message) {
  const size_t limit = message.level >= spdlog::level::warn
                           ? kBufferBytes
                           : kBelowWarningLimitBytes;
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (m_buffer.size() + line.size() > limit) {
    ++m_dropped;
    ++m_dropped_unreported;
    return;
  }
  m_buffer.append(line.data(), line.size());
  if (m_buffer.size() >= kFlushBytes) {
    flush_();
  }
}

void BoundedOutputSink::flush_() {
  size_t written = 0;
  while (written < m_buffer.size()) {
    const ssize_t count =
        write(m_fd, m_buffer.data() + written, m_buffer.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_buffer.erase(0, written);
  if (m_dropped_unreported > 0 && m_buffer.empty()) {
    m_buffer =
        fmt::format("PW1901 log.dropped lines={}\n", m_dropped_unreported);
    m_dropped_unreported = 0;
  }
}

}  // namespace pistachiowalk
