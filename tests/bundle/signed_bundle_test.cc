#include "bundle/signed_bundle.h"

#include "bundle/sample_bundle.h"
#include "support/criterion.h"

using namespace pistachiowalk;
using pistachiowalk::testing::SampleBundle;
namespace leaf = boost::leaf;

namespace {

struct Signer {
  SigningKeyId id;
  SigningKeyPair keys = GenerateSigningKeyPair();
};

SignedBundle Sign(SignedBundle bundle, const Signer& signer) {
  return SignBundle(std::move(bundle), signer.id, signer.keys.secret_key_hex)
      .value();
}

SignaturePolicy PolicyOf(std::initializer_list<Signer> signers,
                         size_t required) {
  SignaturePolicy policy;
  policy.required_signatures = required;
  for (const Signer& signer : signers) {
    policy.trusted_keys.push_back({signer.id, signer.keys.public_key_hex});
  }
  return policy;
}

bool IsAccepted(const SignedBundle& bundle, const SignaturePolicy& policy) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(VerifySignedBundle(bundle, policy));
        return true;
      },
      [] { return false; });
}

}  // namespace

Test(signed_bundle, accepts_only_enough_trusted_signatures) {
  const Signer alice{SigningKeyId("alice")};
  const Signer bob{SigningKeyId("bob")};
  const Signer stranger{SigningKeyId("alice")};
  const SignedBundle unsigned_bundle{SampleBundle(1), {}};
  const SignedBundle by_alice = Sign(unsigned_bundle, alice);
  const SignedBundle by_both = Sign(by_alice, bob);
  SignedBundle twice_alice = by_alice;
  twice_alice.signatures.push_back(by_alice.signatures.front());
  twice_alice.signatures.back().key = SigningKeyId("bob");
  SignedBundle edited = by_alice;
  edited.text += "\n; edited";

  cr_assert(not(IsAccepted(unsigned_bundle, PolicyOf({alice}, 1))));
  cr_assert(IsAccepted(by_alice, PolicyOf({alice}, 1)));
  cr_assert(not(IsAccepted(edited, PolicyOf({alice}, 1))));
  cr_assert(
      not(IsAccepted(Sign(unsigned_bundle, stranger), PolicyOf({alice}, 1))));
  cr_assert(not(IsAccepted(by_alice, PolicyOf({alice, bob}, 2))));
  cr_assert(IsAccepted(by_both, PolicyOf({alice, bob}, 2)));
  cr_assert(not(IsAccepted(twice_alice, PolicyOf({alice, bob}, 2))));
}

Test(signed_bundle, one_key_under_two_names_is_one_signer) {
  const Signer alice{SigningKeyId("alice")};
  Signer alias = alice;
  alias.id = SigningKeyId("alias");
  const SignedBundle both =
      Sign(Sign(SignedBundle{SampleBundle(1), {}}, alice), alias);
  cr_assert(not(IsAccepted(both, PolicyOf({alice, alias}, 2))));
}

Test(signed_bundle, envelope_round_trips_and_rejects_malformed_json) {
  const Signer alice{SigningKeyId("alice")};
  const SignedBundle bundle = Sign(SignedBundle{SampleBundle(3), {}}, alice);
  cr_assert(ParseSignedBundle(SerializeSignedBundle(bundle)).value() == bundle);
  for (const char* text :
       {"", "{", "[]", "{\"bundle\":1,\"signatures\":[]}", "{\"bundle\":\"x\"}",
        "{\"bundle\":\"x\",\"signatures\":[1]}"}) {
    const bool is_rejected = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(ParseSignedBundle(text));
          return false;
        },
        [](const BundleError& error) {
          return error.code == BundleErrorCode::kMalformedEnvelope;
        },
        [] { return false; });
    cr_assert(is_rejected, "%s", text);
  }
}
