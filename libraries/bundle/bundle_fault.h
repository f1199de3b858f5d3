#pragma once

#include <string>

namespace pistachiowalk {

// An error in a bundle's text: its location, what is wrong and how to fix it.
struct BundleFault {
  // Section and entry, for example `[service loans].places`.
  std::string where;
  std::string message;
  // Line of the text, starting at 1; 0 if something is missing.
  int line = 0;

  friend auto operator<=>(const BundleFault&, const BundleFault&) = default;
};

// Formats as `where: message (line N)`.
std::string FormatBundleFault(const BundleFault& fault);

}  // namespace pistachiowalk
