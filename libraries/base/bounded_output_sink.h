#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace pistachiowalk {

// A single-threaded log sink that never blocks. Lines are collected in a buffer
// of fixed size; flush() writes as much as the descriptor accepts.
class BoundedOutputSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // Sets the descriptor to non-blocking.
  explicit BoundedOutputSink(int fd);

  uint64_t dropped() const { return m_dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

 private:
  int m_fd;
  std::string m_buffer;
  uint64_t m_dropped = 0;
  uint64_t m_dropped_unreported = 0;
};

}  // namespace pistachiowalk
