#include "http1/connection_close.h"

namespace pistachiowalk {

std::string_view ToString(CloseCause cause) {
  switch (cause) {
    case CloseCause::kClient:
      return "client";
    case CloseCause::kResponse:
      return "response";
    case CloseCause::kAborted:
      return "aborted";
    case CloseCause::kRefused:
      return "refused";
    case CloseCause::kIdle:
      return "idle";
    case CloseCause::kDisplaced:
      return "displaced";
    case CloseCause::kStop:
      return "stop";
    case CloseCause::kUnread:
      return "unread";
  }
  return "";
}

}  // namespace pistachiowalk
