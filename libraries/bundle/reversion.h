#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace pistachiowalk {

// Returns a bundle's text with only the version replaced, to roll back to older
// content under a higher version. Returns nullopt if the text has no version
// line.
std::optional<std::string> ReplaceBundleVersion(std::string_view text,
                                                BundleVersion version);

}  // namespace pistachiowalk
