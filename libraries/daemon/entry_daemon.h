#pragma once

#include <boost/leaf.hpp>
#include <memory>

#include "daemon/settings.h"

namespace pistachiowalk {

// How a daemon ended; the value is the exit code of its process.
enum class StopResult {
  kDrained = 0,
  // A second signal broke off what was open.
  kForced = 3,
  // The drain limit lapsed with requests still open.
  kDrainTimedOut = 4,
};

// An entry process: all concerns on one event loop.
class EntryDaemon {
 public:
  // Errors: NetError when the listening socket cannot be had.
  static boost::leaf::result<std::unique_ptr<EntryDaemon>> Create(
      Settings settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  uint16_t port() const;
  // Serves until SIGTERM or SIGINT and then drains.
  StopResult Run();

 private:
  struct Components;

  explicit EntryDaemon(std::unique_ptr<Components> components);
  void OnStopSignal();
  // Ends the drained daemon once the outcomes of its actions are recorded.
  void StopWhenOutcomesRecorded();
  void Stop(StopResult result);

  std::unique_ptr<Components> m_components;
};

}  // namespace pistachiowalk
