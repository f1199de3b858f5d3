#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/clock.h"

namespace pistachiowalk {

// Why a connection from a client has ended.
enum class CloseCause : uint8_t {
  // The client closed or reset it.
  kClient,
  // After a response that said so.
  kResponse,
  // A response was broken off.
  kAborted,
  // A request was refused before it was received to its end.
  kRefused,
  // No request came within the idle timeout.
  kIdle,
  // It was closed for a new one, as descriptors are limited.
  kDisplaced,
  // The node stops.
  kStop,
  // The client did not read its responses.
  kUnread,
};

std::string_view ToString(CloseCause cause);

// A connection that has ended.
struct ConnectionClose {
  CloseCause cause = CloseCause::kClient;
  // Since the last response, or since the connection was accepted.
  Duration idle{};
  uint64_t requests = 0;
  // The client's bytes were waiting to be read as the connection was closed.
  bool had_pending_input = false;
  // Bytes received after that, which belong to no request.
  size_t dropped_bytes = 0;

  // Whether a client may miss a response: one was broken off or refused, or
  // the client sent bytes that were not handled.
  bool IsNotable() const {
    return had_pending_input || dropped_bytes > 0 ||
           cause == CloseCause::kAborted || cause == CloseCause::kRefused ||
           cause == CloseCause::kDisplaced || cause == CloseCause::kUnread;
  }

  friend bool operator==(const ConnectionClose&,
                         const ConnectionClose&) = default;
};

}  // namespace pistachiowalk
