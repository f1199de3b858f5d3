#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "bundle/bundle.h"
#include "bundle/signed_bundle.h"
#include "bundle/version_delta.h"

// The messages that replicate bundles between nodes, and their serialization.
namespace pistachiowalk {

constexpr size_t kMaximumChainLength = 64;
constexpr size_t kMaximumEditsPerDelta = 65536;
constexpr size_t kMaximumSignatures = 16;
constexpr size_t kMaximumSignatureHexDigits = 128;

enum class OfferReply : uint8_t { kNone, kWanted };

// Announces the sender's active bundle; version 0 means none.
struct BundleOfferMessage {
  BundleVersion version = 0;
  uint64_t hash = 0;
  OfferReply reply = OfferReply::kNone;
};

// Requests the receiver's active bundle. The version and hash of the sender's
// own bundle let the receiver answer with deltas.
struct BundleRequestMessage {
  BundleVersion version = 0;
  uint64_t hash = 0;
};

// A bundle as a chain of deltas from an earlier version, or as the complete
// `text` if `chain` is empty.
struct BundleContentMessage {
  BundleVersion version = 0;
  // Root of the broadcast tree along which this version is forwarded.
  NodeId origin;
  std::vector<BundleSignature> signatures;
  std::vector<VersionDelta> chain;
  std::string text;
};

template <class Archive>
void serialize(Archive& archive, BundleOfferMessage& message) {
  archive(message.version, message.hash, message.reply);
}

template <class Archive>
void serialize(Archive& archive, BundleRequestMessage& message) {
  archive(message.version, message.hash);
}

template <class Archive>
void serialize(Archive& archive, BundleSignature& signature) {
  ArchiveName(archive, signature.key);
  ArchiveText(archive, signature.signature_hex, kMaximumSignatureHexDigits);
}

template <class Archive>
void serialize(Archive& archive, TextEdit& edit) {
  archive(edit.copy_offset, edit.copy_length);
  ArchiveText(archive, edit.inserted, kMaximumBundleTextBytes);
}

template <class Archive>
void serialize(Archive& archive, VersionDelta& delta) {
  archive(delta.base_hash, delta.hash);
  ArchiveList(archive, delta.edits, kMaximumEditsPerDelta);
}

template <class Archive>
void serialize(Archive& archive, BundleContentMessage& message) {
  archive(message.version);
  ArchiveName(archive, message.origin);
  ArchiveList(archive, message.signatures, kMaximumSignatures);
  ArchiveList(archive, message.chain, kMaximumChainLength);
  ArchiveText(archive, message.text, kMaximumBundleTextBytes);
}

}  // namespace pistachiowalk
