#include "bundle/signed_bundle.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <optional>
#include <set>

#include "bundle/bundle_parser.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

using PublicKey = std::array<unsigned char, crypto_sign_PUBLICKEYBYTES>;
using SecretKey = std::array<unsigned char, crypto_sign_SECRETKEYBYTES>;
using Signature = std::array<unsigned char, crypto_sign_BYTES>;

// Prepended to the text before signing (domain separation), so that a signature
// is not valid for any other purpose.
constexpr std::string_view kSignatureContext = "pistachiowalk-bundle-1\n";

void EnsureSodium() {
  // NOTE: sodium_init may be called repeatedly; it fails only without entropy.
  if (sodium_init() < 0) {
    std::abort();
  }
}

template <size_t kSize>
std::string ToHex(const std::array<unsigned char, kSize>& bytes) {
  std::string hex(kSize * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  hex.pop_back();
  return hex;
}

template <size_t kSize>
std::optional<std::array<unsigned char, kSize>> FromHex(std::string_view hex) {
  std::array<unsigned char, kSize> bytes{};
  size_t length = 0;
  const int status = sodium_hex2bin(bytes.data(), bytes.size(), hex.data(),
                                    hex.size(), nullptr, &length, nullptr);
  if (status != 0 || length != kSize || hex.size() != kSize * 2) {
    return std::nullopt;
  }
  return bytes;
}

std::string SignedText(std::string_view text) {
  return std::string(kSignatureContext) + std::string(text);
}

const TrustedKey* FindTrustedKey(const SignaturePolicy& policy,
                                 const SigningKeyId& id) {
  const auto& keys = policy.trusted_keys;
  const auto it =
      std::find_if(keys.begin(), keys.end(),
                   [&id](const TrustedKey& key) { return key.id == id; });
  return it == keys.end() ? nullptr : &*it;
}

bool IsValidSignature(std::string_view message,
                      const BundleSignature& signature,
                      const PublicKey& key) {
  const auto bytes = FromHex<crypto_sign_BYTES>(signature.signature_hex);
  if (!bytes) {
    return false;
  }
  return crypto_sign_verify_detached(
             bytes->data(),
             reinterpret_cast<const unsigned char*>(message.data()),
             message.size(), key.data()) == 0;
}

// Distinct trusted public keys with a valid signature. Counting keys, not
// names, keeps one key listed twice from counting as two signers.
leaf::result<size_t> CountValidSigners(const SignedBundle& bundle,
                                       const SignaturePolicy& policy) {
  const std::string message = SignedText(bundle.text);
  std::set<PublicKey> signers;
  for (const BundleSignature& signature : bundle.signatures) {
    const TrustedKey* trusted = FindTrustedKey(policy, signature.key);
    if (trusted == nullptr) {
      continue;
    }
    const auto key =
        FromHex<crypto_sign_PUBLICKEYBYTES>(trusted->public_key_hex);
    if (!key) {
      return leaf::new_error(
          BundleError{BundleErrorCode::kMalformedKey,
                      fmt::format("trusted key \"{}\" is not 64 hexadecimal "
                                  "digits",
                                  trusted->id.value())});
    }
    if (IsValidSignature(message, signature, *key)) {
      signers.insert(*key);
    }
  }
  return signers.size();
}

}  // namespace

SigningKeyPair GenerateSigningKeyPair() {
  EnsureSodium();
  PublicKey public_key{};
  SecretKey secret_key{};
  crypto_sign_keypair(public_key.data(), secret_key.data());
  return SigningKeyPair{.public_key_hex = ToHex(public_key),
                        .secret_key_hex = ToHex(secret_key)};
}

leaf::result<SignedBundle> SignBundle(SignedBundle bundle,
                                      const SigningKeyId& key,
                                      std::string_view secret_key_hex) {
  EnsureSodium();
  const auto secret_key = FromHex<crypto_sign_SECRETKEYBYTES>(secret_key_hex);
  if (!secret_key) {
    return leaf::new_error(
        BundleError{BundleErrorCode::kMalformedKey,
                    "the secret key is not 128 hexadecimal digits"});
  }
  const std::string message = SignedText(bundle.text);
  Signature signature{};
  crypto_sign_detached(signature.data(), nullptr,
                       reinterpret_cast<const unsigned char*>(message.data()),
                       message.size(), secret_key->data());
  std::erase_if(bundle.signatures, [&key](const BundleSignature& existing) {
    return existing.key == key;
  });
  bundle.signatures.push_back(
      BundleSignature{.key = key, .signature_hex = ToHex(signature)});
  return bundle;
}

std::string SerializeSignedBundle(const SignedBundle& bundle) {
  boost::json::array signatures;
  for (const BundleSignature& signature : bundle.signatures) {
    signatures.push_back(
        boost::json::object{{"key", signature.key.value()},
                            {"signature", signature.signature_hex}});
  }
  return boost::json::serialize(boost::json::object{
      {"bundle", bundle.text}, {"signatures", std::move(signatures)}});
}

leaf::result<SignedBundle> ParseSignedBundle(std::string_view json) {
  const auto malformed = [](std::string detail) {
    return leaf::new_error(
        BundleError{BundleErrorCode::kMalformedEnvelope, std::move(detail)});
  };
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(json, error);
  if (error || !value.is_object()) {
    return malformed("a signed bundle is a JSON object");
  }
  const boost::json::value* text = value.get_object().if_contains("bundle");
  const boost::json::value* signatures =
      value.get_object().if_contains("signatures");
  if (text == nullptr || !text->is_string() || signatures == nullptr ||
      !signatures->is_array()) {
    return malformed("a signed bundle has \"bundle\" and \"signatures\"");
  }
  SignedBundle bundle;
  bundle.text = text->get_string();
  for (const boost::json::value& item : signatures->get_array()) {
    const auto* object = item.if_object();
    const auto* key = object ? object->if_contains("key") : nullptr;
    const auto* hex = object ? object->if_contains("signature") : nullptr;
    if (key == nullptr || hex == nullptr || !key->is_string() ||
        !hex->is_string()) {
      return malformed("a signature has \"key\" and \"signature\"");
    }
    bundle.signatures.push_back(
        BundleSignature{.key = SigningKeyId(std::string(key->get_string())),
                        .signature_hex = std::string(hex->get_string())});
  }
  return bundle;
}

leaf::result<Bundle> VerifySignedBundle(const SignedBundle& bundle,
                                        const SignaturePolicy& policy) {
  EnsureSodium();
  BOOST_LEAF_AUTO(signers, CountValidSigners(bundle, policy));
  if (signers < policy.required_signatures) {
    return leaf::new_error(
        BundleError{BundleErrorCode::kNotEnoughSignatures,
                    fmt::format("{} valid signatures by trusted keys, {} "
                                "required",
                                signers, policy.required_signatures)});
  }
  BundleParseOutcome outcome = ParseBundle(bundle.text);
  if (!outcome.bundle) {
    return leaf::new_error(
        BundleError{BundleErrorCode::kInvalidText,
                    FormatBundleFault(outcome.faults.front())});
  }
  return std::move(*outcome.bundle);
}

}  // namespace pistachiowalk
