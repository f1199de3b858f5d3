#pragma once

#include "serving/prompt_part.h"

namespace pistachiowalk {

// A prompt part of a request under which a worker ended.
struct SuspectPart {
  PromptPartId part{};
  // Some node saw a response to a prompt with this part begin in the time
  // before the crash.
  bool was_sound = false;
  // A response to a prompt with this part began in an attempt that was sent
  // after the crash, so this part was not its cause.
  bool is_refuted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchivePromptPart(archive, part);
    archive(was_sound, is_refuted);
  }
  friend auto operator<=>(const SuspectPart&, const SuspectPart&) = default;
};

}  // namespace pistachiowalk
