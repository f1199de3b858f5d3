#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle_error.h"
#include "bundle/signed_bundle.h"
#include "bundle/version_delta.h"

namespace pistachiowalk {

// The accepted bundle as stored in the platform's store: as complete text, or
// as a chain of deltas from a snapshot under a separate key, so that watchers
// of a large bundle read a few hundred bytes for each change.
struct StoredBundle {
  BundleVersion version = 0;
  std::vector<BundleSignature> signatures;
  // The complete text; empty if the bundle is a chain.
  std::string text;
  // For a chain: the snapshot's key, the hash of its text, and the deltas,
  // which may begin before the snapshot.
  std::string snapshot_key;
  uint64_t snapshot_hash = 0;
  std::vector<VersionDelta> chain;

  friend auto operator<=>(const StoredBundle&, const StoredBundle&) = default;
};

std::string SerializeStoredBundle(const StoredBundle& bundle);
// Parses either form. The version of a complete text is left 0, since it is
// part of the text.
// Errors: kMalformedEnvelope.
boost::leaf::result<StoredBundle> ParseStoredBundle(std::string_view json);

}  // namespace pistachiowalk
