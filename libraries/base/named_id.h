#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace pistachiowalk {

// A strongly typed string identifier; identifiers with different tags do not
// convert to each other.
template <class Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  friend auto operator<=>(const NamedId&, const NamedId&) = default;

 private:
  std::string m_value;
};

}  // namespace pistachiowalk

template <class Tag>
struct std::hash<pistachiowalk::NamedId<Tag>> {
  size_t operator()(const pistachiowalk::NamedId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};
