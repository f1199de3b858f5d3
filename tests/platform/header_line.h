#pragma once

#include <string>

namespace pistachiowalk::testing {

// A header as it stands in the head of a message.
inline std::string HeaderLine(const char* name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

}  // namespace pistachiowalk::testing
