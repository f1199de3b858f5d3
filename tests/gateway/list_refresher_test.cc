#include "gateway/list_refresher.h"

#include <memory>
#include <utility>
#include <vector>

#include "base/system_clock.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

// A node whose questions are answered when the test says so.
struct AskingNode {
  void Run(Duration time) {
    loop.Schedule(time, [this] { loop.Stop(); });
    loop.Run();
  }
  // Runs until `count` questions were sent, for 2 s at most.
  bool RunUntilAsked(size_t count) {
    for (int step = 0; step < 400 && questions.size() < count; ++step) {
      Run(milliseconds(5));
    }
    return questions.size() >= count;
  }
  // Returns where the outcome will be: whether the list is complete.
  std::vector<bool>& Refresh() {
    outcomes.push_back(std::make_unique<std::vector<bool>>());
    std::vector<bool>& outcome = *outcomes.back();
    refresher.Refresh(
        [&outcome](bool is_complete) { outcome.push_back(is_complete); });
    return outcome;
  }

  EventLoop loop;
  SystemClock clock;
  bool has_open_call = false;
  std::vector<ListRefresher::Callback> questions;
  std::vector<std::unique_ptr<std::vector<bool>>> outcomes;
  ListRefresher refresher{loop, clock, [this](ListRefresher::Callback ended) {
                            if (!has_open_call) {
                              questions.push_back(std::move(ended));
                            }
                            return !has_open_call;
                          }};
};

const std::vector<bool> kOpen;
const std::vector<bool> kComplete = {true};
const std::vector<bool> kNotConfirmed = {false};

}  // namespace

Test(list_refresher, an_older_questions_answer_confirms_the_list) {
  AskingNode node;
  const std::vector<bool>& first = node.Refresh();
  cr_assert(node.RunUntilAsked(1));
  const std::vector<bool>& second = node.Refresh();
  node.questions[0](true);
  cr_assert(first == kComplete && second == kOpen);
  cr_assert(node.RunUntilAsked(2));
  cr_assert(second == kOpen);
  node.questions[1](true);
  cr_assert(second == kComplete);
}

Test(list_refresher, a_call_that_is_open_already_counts_as_the_question) {
  AskingNode node;
  node.has_open_call = true;
  const std::vector<bool>& outcome = node.Refresh();
  node.Run(milliseconds(150));
  cr_assert(outcome == kOpen && node.questions.empty());
  node.has_open_call = false;
  cr_assert(node.RunUntilAsked(1));
  node.questions[0](true);
  cr_assert(outcome == kComplete);
}

Test(list_refresher, a_silent_store_holds_up_a_take_up) {
  AskingNode node;
  const std::vector<bool>& outcome = node.Refresh();
  node.Run(milliseconds(1000));
  cr_assert(outcome == kNotConfirmed);
  node.questions[0](true);
  cr_assert(outcome == kNotConfirmed);
}

Test(list_refresher, one_failed_call_refuses_a_take_up) {
  AskingNode node;
  const std::vector<bool>& outcome = node.Refresh();
  cr_assert(node.RunUntilAsked(1));
  node.questions[0](false);
  cr_assert(outcome == kOpen);
  cr_assert(node.RunUntilAsked(2));
  node.questions[1](true);
  cr_assert(outcome == kComplete);
}

Test(list_refresher, callers_that_return_at_once_each_cost_a_read) {
  AskingNode node;
  constexpr size_t kCallers = 60;
  for (size_t caller = 0; caller < kCallers; ++caller) {
    node.Refresh();
  }
  cr_assert(node.questions.size() == 1);
  node.questions[0](true);
  cr_assert(node.RunUntilAsked(2));
  node.questions[1](true);
  node.Run(milliseconds(300));
  cr_assert(node.questions.size() == 2);
  for (const auto& outcome : node.outcomes) {
    cr_assert(*outcome == kComplete);
  }
}
