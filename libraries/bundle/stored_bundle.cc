#include "bundle/stored_bundle.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "bundle/bundle_message.h"

namespace pistachiowalk {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

std::string FormatHash(uint64_t hash) {
  return fmt::format("{:016x}", hash);
}

uint64_t ParseHash(const json::value& value) {
  const json::string& text = value.as_string();
  uint64_t hash = 0;
  std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  return hash;
}

json::object DeltaToJson(const VersionDelta& delta) {
  json::array edits;
  for (const TextEdit& edit : delta.edits) {
    edits.push_back(
        json::array{edit.copy_offset, edit.copy_length, edit.inserted});
  }
  return json::object{{"hash", FormatHash(delta.hash)},
                      {"edits", std::move(edits)}};
}

// Throws if a member is missing or has the wrong type.
VersionDelta DeltaFromJson(const json::value& value, uint64_t base_hash) {
  const json::object& object = value.as_object();
  VersionDelta delta{.base_hash = base_hash,
                     .hash = ParseHash(object.at("hash"))};
  for (const json::value& item : object.at("edits").as_array()) {
    const json::array& edit = item.as_array();
    delta.edits.push_back(
        TextEdit{.copy_offset = edit.at(0).to_number<uint32_t>(),
                 .copy_length = edit.at(1).to_number<uint32_t>(),
                 .inserted = std::string(edit.at(2).as_string())});
  }
  return delta;
}

StoredBundle ChainFromJson(const json::object& object) {
  StoredBundle bundle{
      .version = object.at("version").to_number<BundleVersion>(),
      .snapshot_key = std::string(object.at("snapshot").as_string()),
      .snapshot_hash = ParseHash(object.at("snapshot_hash"))};
  for (const json::value& item : object.at("signatures").as_array()) {
    const json::object& signature = item.as_object();
    bundle.signatures.push_back(BundleSignature{
        .key = SigningKeyId(std::string(signature.at("key").as_string())),
        .signature_hex = std::string(signature.at("signature").as_string())});
  }
  // Each delta is based on the text built by the previous one.
  uint64_t base_hash = ParseHash(object.at("chain_base"));
  for (const json::value& item : object.at("chain").as_array()) {
    bundle.chain.push_back(DeltaFromJson(item, base_hash));
    base_hash = bundle.chain.back().hash;
  }
  return bundle;
}

}  // namespace

std::string SerializeStoredBundle(const StoredBundle& bundle) {
  if (bundle.chain.empty()) {
    return SerializeSignedBundle({bundle.text, bundle.signatures});
  }
  json::array signatures;
  for (const BundleSignature& signature : bundle.signatures) {
    signatures.push_back(json::object{{"key", signature.key.value()},
                                      {"signature", signature.signature_hex}});
  }
  json::array chain;
  for (const VersionDelta& delta : bundle.chain) {
    chain.push_back(DeltaToJson(delta));
  }
  return json::serialize(
      json::object{{"version", bundle.version},
                   {"snapshot", bundle.snapshot_key},
                   {"snapshot_hash", FormatHash(bundle.snapshot_hash)},
                   {"signatures", std::move(signatures)},
                   {"chain_base", FormatHash(bundle.chain.front().base_hash)},
                   {"chain", std::move(chain)}});
}

leaf::result<StoredBundle> ParseStoredBundle(std::string_view text) {
  json::error_code error;
  const json::value document = json::parse(text, error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr || !object->contains("chain")) {
    BOOST_LEAF_AUTO(whole, ParseSignedBundle(text));
    return StoredBundle{.signatures = std::move(whole.signatures),
                        .text = std::move(whole.text)};
  }
  try {
    StoredBundle bundle = ChainFromJson(*object);
    if (!bundle.chain.empty() && bundle.chain.size() <= kMaximumChainLength) {
      return bundle;
    }
  } catch (const std::exception&) {
    // Reported below, like a chain with no or too many deltas.
  }
  return leaf::new_error(BundleError{BundleErrorCode::kMalformedEnvelope,
                                     "is not a chain of steps"});
}

}  // namespace pistachiowalk
