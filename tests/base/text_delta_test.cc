#include "base/text_delta.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr uint32_t kMaximumBytes = 1024 * 1024;

}  // namespace

Test(text_delta, rebuilds_each_target) {
  const char* texts[] = {
      "",          "a\n", "a\nb\nc\n",           "c\nb\na\n", "a\nx\nc",
      "a\na\na\n", "x",   "{\"a\":{},\"b\":{}}", "{\"b\":{}}"};
  for (const char* base : texts) {
    for (const char* target : texts) {
      const TextDelta delta = MakeTextDelta(base, target);
      cr_assert(ApplyTextDelta(base, delta, kMaximumBytes) ==
                std::string(target));
    }
  }
}

Test(text_delta, rejects_edits_outside_the_base) {
  cr_assert(!ApplyTextDelta("abc", {{2, 2, ""}}, kMaximumBytes));
  cr_assert(!ApplyTextDelta("abc", {{4, 0, ""}}, kMaximumBytes));
  cr_assert(!ApplyTextDelta("abc", {{0xffffffff, 2, ""}}, kMaximumBytes));
  cr_assert(!ApplyTextDelta("abc", {{1, 0xffffffff, ""}}, kMaximumBytes));
  const std::string large(kMaximumBytes, 'x');
  cr_assert(!ApplyTextDelta(large, {{0, kMaximumBytes, "x"}}, kMaximumBytes));
}

Test(text_delta, a_change_of_one_object_of_a_long_line_sends_the_whole_line) {
  std::string base;
  for (int object = 0; object < 1000; ++object) {
    base += "{\"number\":" + std::to_string(object) + "},";
  }
  std::string target = base;
  target.replace(target.find("500"), 3, "5000");
  const TextDelta delta = MakeTextDelta(base, target);
  cr_assert(ApplyTextDelta(base, delta, kMaximumBytes) == target);
  cr_assert_lt(TextDeltaBytes(delta), 100);
}
