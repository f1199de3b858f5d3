#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace pistachiowalk {

// The string member `name`, or "" if it is absent or not a string.
std::string StringAt(const boost::json::object& object, const char* name);

}  // namespace pistachiowalk
