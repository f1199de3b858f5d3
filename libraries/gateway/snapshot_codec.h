#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "following/prefix_changes.h"
#include "following/prefix_follower.h"

// The messages by which nodes exchange followed prefixes.
namespace pistachiowalk {

// Whether an encoded snapshot names the history of the store; nodes of earlier
// builds send and understand only those that do not.
enum class SnapshotFormat { kWithoutHistory, kWithHistory };

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot,
                                 SnapshotFormat format);
std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes,
                                                   SnapshotFormat format);

std::string EncodeChangesRequest(const PrefixChangesRequest& request);
std::optional<PrefixChangesRequest> DecodeChangesRequest(
    std::string_view bytes);

std::string EncodePrefixChanges(const PrefixChanges& changes);
std::optional<PrefixChanges> DecodePrefixChanges(std::string_view bytes);

}  // namespace pistachiowalk
