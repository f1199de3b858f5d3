#pragma once

#include <cstddef>

namespace pistachiowalk {

// Size of a record of the duties in the store, which takes a megabyte in
// base64.
constexpr size_t kMaximumRecordBytes = 600000;

}  // namespace pistachiowalk
