#include "serving/request_fingerprint.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace pistachiowalk {
namespace {

// Bytes at each end of a body that are hashed, which bounds the time.
constexpr size_t kMaximumEndBytes = 128 * 1024;

class Hash {
 public:
  Hash() { crypto_generichash_init(&m_state, nullptr, 0, kHashBytes); }

  // The length separates the text from the next one.
  void Add(std::string_view text) {
    const uint64_t length = text.size();
    std::array<unsigned char, sizeof(length)> coded{};
    for (size_t i = 0; i < coded.size(); ++i) {
      coded[i] = static_cast<unsigned char>(length >> (8 * i));
    }
    crypto_generichash_update(&m_state, coded.data(), coded.size());
    AddBytes(text.substr(0, kMaximumEndBytes));
    if (text.size() > kMaximumEndBytes) {
      const size_t rest = text.size() - kMaximumEndBytes;
      AddBytes(text.substr(text.size() - std::min(rest, kMaximumEndBytes)));
    }
  }

  uint64_t Finish() {
    std::array<unsigned char, kHashBytes> bytes{};
    crypto_generichash_final(&m_state, bytes.data(), bytes.size());
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof(value); ++i) {
      value |= uint64_t{bytes[i]} << (8 * i);
    }
    return value;
  }

 private:
  static constexpr size_t kHashBytes = crypto_generichash_BYTES_MIN;

  void AddBytes(std::string_view bytes) {
    crypto_generichash_update(
        &m_state, reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size());
  }

  crypto_generichash_state m_state;
};

}  // namespace

PromptPartId FingerprintRequest(const RequestIdentity& identity) {
  Hash hash;
  hash.Add(identity.customer);
  hash.Add(identity.method);
  hash.Add(identity.host);
  hash.Add(identity.target);
  hash.Add(identity.body);
  return PromptPartId{hash.Finish()};
}

}  // namespace pistachiowalk
