#include "base/json_fields.h"

#include <boost/json/value.hpp>

namespace pistachiowalk {

std::string StringAt(const boost::json::object& object, const char* name) {
  const boost::json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

}  // namespace pistachiowalk
