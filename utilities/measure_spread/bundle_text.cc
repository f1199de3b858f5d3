#include "bundle_text.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>

#include "bundle/customer_key.h"
#include "bundle/signed_bundle.h"

namespace pistachiowalk {
namespace {

constexpr int kRepeats = 20;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanosecondsPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

}  // namespace

std::string MeasuredBundleText(uint64_t version,
                               size_t customers,
                               size_t changed) {
  static const std::string hash = HashCustomerKey("key");
  std::string text = fmt::format(
      "[bundle]\nname = measured\nschema = 1\nversion = {}\n"
      "[place a]\ndata_center = a\nregion = r\n"
      "[service chat]\nkind = model\nmodel = m\nplaces = a\n",
      version);
  constexpr size_t kHashPrefix = 56;
  for (size_t i = 0; i < customers; ++i) {
    text += fmt::format(
        "[customer c{}]\nkey_hash = {}{:08x}\nrequests_per_second = {}\n", i,
        hash.substr(0, kHashPrefix), i, i == changed ? version + 100 : 50);
  }
  return text;
}

BundleCheckCost MeasureBundleCheck(size_t customers) {
  const SigningKeyPair keys = GenerateSigningKeyPair();
  const SigningKeyId id("ops");
  const SignedBundle bundle =
      SignBundle({MeasuredBundleText(1, customers, 0), {}}, id,
                 keys.secret_key_hex)
          .value();
  const SignaturePolicy policy{
      .trusted_keys = {TrustedKey{id, keys.public_key_hex}}};
  const size_t heap_before = mallinfo2().uordblks;
  const Bundle kept = VerifySignedBundle(bundle, policy).value();
  const size_t heap_after = mallinfo2().uordblks;
  const double start = CpuSeconds();
  for (int i = 0; i < kRepeats; ++i) {
    static_cast<void>(VerifySignedBundle(bundle, policy).value());
  }
  return BundleCheckCost{
      .cpu_seconds = (CpuSeconds() - start) / kRepeats,
      .parsed_bytes = static_cast<double>(heap_after - heap_before)};
}

}  // namespace pistachiowalk
