#pragma once

#include <string>

namespace pistachiowalk {

enum class BundleErrorCode {
  // The envelope is not a signed bundle.
  kMalformedEnvelope,
  // Fewer valid signatures by trusted keys than required.
  kNotEnoughSignatures,
  // A key has the wrong length or characters other than hexadecimal digits.
  kMalformedKey,
  // The signed text is not a valid bundle.
  kInvalidText,
};

// An error of the bundle library, with a message for the operator.
struct BundleError {
  BundleErrorCode code = BundleErrorCode::kMalformedEnvelope;
  std::string detail;
};

}  // namespace pistachiowalk
