#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace pistachiowalk {

// A bundle's text with another version and all else as it was, for going back
// to older content under a higher version. nullopt when the text has no
// version line.
std::optional<std::string> ReplaceBundleVersion(std::string_view text,
                                                BundleVersion version);

}  // namespace pistachiowalk
