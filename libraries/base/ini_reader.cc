#include "base/ini_reader.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace pistachiowalk {
namespace {

struct ReadState {
  std::string_view rest;
  int line = 0;
  IniText result;
};

// Passes inih one line per call, so that the handler knows the line number.
char* ReadLine(char* buffer, int size, void* stream) {
  auto* state = static_cast<ReadState*>(stream);
  if (state->rest.empty()) {
    return nullptr;
  }
  const size_t end = state->rest.find('\n');
  const std::string_view line = state->rest.substr(0, end);
  state->rest.remove_prefix(end == std::string_view::npos ? state->rest.size()
                                                          : end + 1);
  ++state->line;
  const size_t capacity = static_cast<size_t>(size) - 1;
  if (line.size() > capacity || line.find('\0') != std::string_view::npos) {
    // NOTE: inih would silently split an overlong line, so it is reported as
    // malformed.
    state->result.malformed_lines.push_back(state->line);
    buffer[0] = '\0';
    return buffer;
  }
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\0';
  return buffer;
}

int HandleEntry(void* user,
                const char* section,
                const char* name,
                const char* value) {
  auto* state = static_cast<ReadState*>(user);
  state->result.entries.push_back(IniEntry{
      .section = section, .name = name, .value = value, .line = state->line});
  return 1;
}

}  // namespace

IniText ReadIni(std::string_view text) {
  ReadState state{.rest = text, .line = 0, .result = {}};
  const int first_error =
      ini_parse_stream(ReadLine, &state, HandleEntry, &state);
  if (first_error > 0) {
    state.result.malformed_lines.push_back(first_error);
  }
  auto& lines = state.result.malformed_lines;
  std::sort(lines.begin(), lines.end());
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  return std::move(state.result);
}

std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> items;
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                       : comma + 1);
    const size_t first = item.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
      continue;
    }
    const size_t last = item.find_last_not_of(" \t");
    items.emplace_back(item.substr(first, last - first + 1));
  }
  return items;
}

}  // namespace pistachiowalk
