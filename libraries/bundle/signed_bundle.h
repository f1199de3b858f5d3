#pragma once

#include <array>
#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "bundle/bundle.h"
#include "bundle/bundle_error.h"

// Ed25519 signatures over a bundle's text, implemented with libsodium.
namespace pistachiowalk {

// A public key in hexadecimal with its name in the settings.
struct TrustedKey {
  SigningKeyId id;
  std::string public_key_hex;

  friend auto operator<=>(const TrustedKey&, const TrustedKey&) = default;
};

// A key pair in hexadecimal. The secret key never leaves the operator.
struct SigningKeyPair {
  std::string public_key_hex;
  std::string secret_key_hex;
};

struct BundleSignature {
  SigningKeyId key;
  std::string signature_hex;

  friend auto operator<=>(const BundleSignature&,
                          const BundleSignature&) = default;
};

// A bundle's text with its detached signatures.
struct SignedBundle {
  std::string text;
  std::vector<BundleSignature> signatures;

  friend auto operator<=>(const SignedBundle&, const SignedBundle&) = default;
};

// The signatures required to accept a bundle. Read from the node's settings,
// never from the store.
struct SignaturePolicy {
  std::vector<TrustedKey> trusted_keys;
  size_t required_signatures = 1;
};

SigningKeyPair GenerateSigningKeyPair();

// Adds the signature of `key`, replacing an earlier one by the same key.
// Errors: kMalformedKey.
boost::leaf::result<SignedBundle> SignBundle(SignedBundle bundle,
                                             const SigningKeyId& key,
                                             std::string_view secret_key_hex);

// Serializes to the JSON envelope in which a signed bundle is stored and
// exchanged.
std::string SerializeSignedBundle(const SignedBundle& bundle);
// Errors: kMalformedEnvelope.
boost::leaf::result<SignedBundle> ParseSignedBundle(std::string_view json);

// Verifies the signatures against `policy`, then parses the text.
// Errors: kNotEnoughSignatures, kMalformedKey, kInvalidText.
boost::leaf::result<Bundle> VerifySignedBundle(const SignedBundle& bundle,
                                               const SignaturePolicy& policy);

}  // namespace pistachiowalk
