#include "base/problem.h"

#include <boost/json.hpp>

namespace pistachiowalk {
namespace {

struct ProblemTraits {
  int status;
  std::string_view type_name;
  std::string_view title;
};

ProblemTraits ProblemTraitsOf(ProblemKind kind) {
  switch (kind) {
    case ProblemKind::kMalformedRequest:
      return {400, "malformed-request", "The request is malformed"};
    case ProblemKind::kUnauthenticated:
      return {401, "unauthenticated", "The customer key is missing or unknown"};
    case ProblemKind::kUnknownService:
      return {404, "unknown-service", "No such service in the bundle"};
    case ProblemKind::kUnknownRequest:
      return {404, "unknown-request", "No such request is held here"};
    case ProblemKind::kMethodNotAllowed:
      return {405, "method-not-allowed",
              "The service does not allow this method"};
    case ProblemKind::kBodyTooLarge:
      return {413, "body-too-large", "The request body is too large"};
    case ProblemKind::kIdempotencyKeyMissing:
      return {400, "idempotency-key-missing",
              "This call needs an Idempotency-Key"};
    case ProblemKind::kIdempotencyKeyReused:
      return {422, "idempotency-key-reused",
              "The key was used with another body"};
    case ProblemKind::kLimitExceeded:
      return {429, "limit-exceeded", "The customer's limit is exceeded"};
    case ProblemKind::kOverloaded:
      return {503, "overloaded", "The deadline cannot be met"};
    case ProblemKind::kNoEndpoint:
      return {503, "no-endpoint", "No live endpoint serves this service"};
    case ProblemKind::kNotReady:
      return {503, "not-ready", "No bundle is in force yet"};
    case ProblemKind::kStoreUnavailable:
      return {503, "store-unavailable",
              "The platform's store cannot be reached"};
    case ProblemKind::kUpstreamFailed:
      return {502, "upstream-failed", "The endpoint failed"};
    case ProblemKind::kDeadlineExceeded:
      return {504, "deadline-exceeded", "The deadline has passed"};
    case ProblemKind::kOutcomeUnknown:
      return {502, "outcome-unknown", "Whether the action ran is not known"};
    case ProblemKind::kStopping:
      return {503, "stopping", "This node is stopping"};
  }
  return {500, "internal", "Internal error"};
}

}  // namespace

int ProblemStatus(ProblemKind kind) {
  return ProblemTraitsOf(kind).status;
}

std::string_view ProblemTypeName(ProblemKind kind) {
  return ProblemTraitsOf(kind).type_name;
}

std::string ProblemDocument(const Problem& problem, std::string_view instance) {
  const ProblemTraits traits = ProblemTraitsOf(problem.kind);
  boost::json::object document;
  document["type"] =
      "urn:pistachiowalk:problem:" + std::string(traits.type_name);
  document["title"] = traits.title;
  document["status"] = traits.status;
  document["outcome"] = RunOutcomeName(problem.outcome);
  if (!problem.detail.empty()) {
    document["detail"] = problem.detail;
  }
  if (!instance.empty()) {
    document["instance"] = instance;
  }
  return boost::json::serialize(document);
}

}  // namespace pistachiowalk
