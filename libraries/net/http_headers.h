#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pistachiowalk {

struct HttpHeader {
  std::string name;
  std::string value;

  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Value of the first header with this name, compared case-insensitively;
// nullptr if there is none.
const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name);

}  // namespace pistachiowalk
