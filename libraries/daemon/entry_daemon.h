#pragma once

#include <boost/leaf.hpp>
#include <memory>

#include "daemon/settings.h"

namespace pistachiowalk {

// How the daemon stopped. The value is the exit code of the process.
enum class StopResult {
  kDrained = 0,
  // A second signal aborted the open requests.
  kForced = 3,
  // The drain timeout expired while requests were open.
  kDrainTimedOut = 4,
};

// The process of an entry node. It accepts callers' requests and routes them to
// endpoints; all components run on one event loop.
class EntryDaemon {
 public:
  // Errors: NetError if a socket cannot be opened.
  static boost::leaf::result<std::unique_ptr<EntryDaemon>> Create(
      Settings settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  uint16_t port() const;
  // Serves until SIGTERM or SIGINT, then drains and returns.
  StopResult Run();

 private:
  struct Components;

  explicit EntryDaemon(std::unique_ptr<Components> components);
  void OnStopSignal();
  // Stops the drained daemon once the outcomes of its actions are recorded.
  void StopWhenOutcomesRecorded();
  void Stop(StopResult result);

  std::unique_ptr<Components> m_components;
};

}  // namespace pistachiowalk
