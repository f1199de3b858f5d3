#include "net/event_loop.h"

#include <unistd.h>

#include <array>
#include <stdexcept>

#include "support/criterion.h"

using namespace pistachiowalk;

Test(event_loop, a_callback_that_throws_ends_neither_the_loop_nor_others) {
  EventLoop loop;
  std::array<int, 2> ends{};
  cr_assert(pipe(ends.data()) == 0);
  cr_assert(write(ends[1], "x", 1) == 1);
  int reads = 0;
  loop.Watch(ends[0], Readiness{.readable = true}, [&](int fd, Readiness) {
    char byte = 0;
    reads += static_cast<int>(read(fd, &byte, 1));
    throw std::runtime_error("in a watch");
  });
  int completed = 0;
  loop.Post([] { throw std::length_error("in a task"); });
  loop.Post([&] { ++completed; });
  loop.Schedule(std::chrono::milliseconds(5), [] { throw 7; });
  loop.Schedule(std::chrono::milliseconds(6), [&] { ++completed; });
  loop.Schedule(std::chrono::milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
  cr_assert(completed == 2 && reads == 1);
  cr_assert(loop.failed_tasks() == 3);
  loop.Unwatch(ends[0]);
  close(ends[0]);
  close(ends[1]);
}
