#include "serving/request_fingerprint.h"

#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr RequestIdentity kRequest{.customer = "acme",
                                   .method = "POST",
                                   .host = "a.example",
                                   .target = "/loans/1?x=2",
                                   .body = "body"};

}  // namespace

Test(request_fingerprint, a_request_is_taken_for_another_one) {
  const PromptPartId fingerprint = FingerprintRequest(kRequest);
  cr_assert(FingerprintRequest(kRequest) == fingerprint);
  RequestIdentity other = kRequest;
  other.customer = "other";
  cr_assert(FingerprintRequest(other) != fingerprint);
  other = kRequest;
  other.method = "PUT";
  cr_assert(FingerprintRequest(other) != fingerprint);
  other = kRequest;
  other.host = "b.example";
  cr_assert(FingerprintRequest(other) != fingerprint);
  other = kRequest;
  other.target = "/loans/1?x=3";
  cr_assert(FingerprintRequest(other) != fingerprint);
  other = kRequest;
  other.body = "bod";
  cr_assert(FingerprintRequest(other) != fingerprint);
}

Test(request_fingerprint, text_moves_from_one_field_to_the_next) {
  RequestIdentity first = kRequest;
  first.target = "/a";
  first.body = "b";
  RequestIdentity second = kRequest;
  second.target = "/ab";
  second.body = "";
  cr_assert(FingerprintRequest(first) != FingerprintRequest(second));
}

Test(request_fingerprint, long_bodies_with_the_same_begin_are_the_same) {
  const std::string body(4 * 1024 * 1024, 'x');
  std::string other_end = body;
  other_end.back() = 'y';
  const std::string longer = body + "x";
  RequestIdentity request = kRequest;
  request.body = body;
  const PromptPartId fingerprint = FingerprintRequest(request);
  request.body = other_end;
  cr_assert(FingerprintRequest(request) != fingerprint);
  request.body = longer;
  cr_assert(FingerprintRequest(request) != fingerprint);
}
