#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pistachiowalk {

// One `name = value` line of an INI text.
struct IniEntry {
  std::string section;
  std::string name;
  std::string value;
  // Line number, starting at 1.
  int line = 0;

  friend bool operator==(const IniEntry&, const IniEntry&) = default;
};

// A parsed INI text, in file order. Duplicate names are kept, so that the user
// of the entries can reject them.
struct IniText {
  std::vector<IniEntry> entries;
  // Numbers of malformed lines, starting at 1; empty for a well-formed text.
  std::vector<int> malformed_lines;
};

// Parses `text` with inih, keeping line numbers. Never fails: malformed lines
// are listed in the result.
IniText ReadIni(std::string_view text);

// Splits "a, b,c" at commas and trims whitespace; empty items are dropped.
std::vector<std::string> SplitList(std::string_view list);

}  // namespace pistachiowalk
