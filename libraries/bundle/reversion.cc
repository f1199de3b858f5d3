#include "bundle/reversion.h"

#include <algorithm>

#include "base/ini_reader.h"

namespace pistachiowalk {
namespace {

// Returns the line of the version, starting at 1; 0 if there is none.
int FindVersionLine(std::string_view text) {
  for (const IniEntry& entry : ReadIni(text).entries) {
    if (entry.section == "bundle" && entry.name == "version") {
      return entry.line;
    }
  }
  return 0;
}

}  // namespace

std::optional<std::string> ReplaceBundleVersion(std::string_view text,
                                                BundleVersion version) {
  const int line = FindVersionLine(text);
  if (line == 0) {
    return std::nullopt;
  }
  size_t start = 0;
  for (int i = 1; i < line; ++i) {
    start = text.find('\n', start) + 1;
  }
  const size_t end = std::min(text.find('\n', start), text.size());
  std::string result(text.substr(0, start));
  result += "version = " + std::to_string(version);
  result += text.substr(end);
  return result;
}

}  // namespace pistachiowalk
