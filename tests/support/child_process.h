#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowalk::testing {

// A TCP port of 127.0.0.1 that was free a moment ago.
uint16_t FreePort();

// A program of this project run by a test; killed when it goes out of scope.
class ChildProcess {
 public:
  // `program` is a path below the build folder. Returns once the program has
  // printed its port; aborts the test when it does not start.
  ChildProcess(const std::string& program, std::vector<std::string> arguments);
  // Starts a program without waiting for a port. Its standard output is
  // appended to `output_file`.
  ChildProcess(const std::string& program,
               std::vector<std::string> arguments,
               const std::string& output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  uint16_t port() const { return m_port; }
  std::string Url() const;
  void Signal(int signal_number) const;
  // Waits for the program to exit. Returns its exit code, or 128 plus the
  // number of the signal that ended it.
  int Wait();
  // The same without waiting; nullopt while the program runs.
  std::optional<int> Poll();

 private:
  pid_t m_pid = -1;
  uint16_t m_port = 0;
};

}  // namespace pistachiowalk::testing
