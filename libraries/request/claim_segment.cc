#include "request/claim_segment.h"

#include <boost/json.hpp>

#include "base/json_fields.h"

namespace pistachiowalk {
namespace {

constexpr const char* kClaimName = "claim";
constexpr const char* kOutcomeName = "outcome";
constexpr const char* kReleaseName = "release";

const char* KindName(ClaimEntryKind kind) {
  switch (kind) {
    case ClaimEntryKind::kClaim:
      return kClaimName;
    case ClaimEntryKind::kOutcome:
      return kOutcomeName;
    case ClaimEntryKind::kRelease:
      return kReleaseName;
  }
  return "";
}

std::optional<ClaimEntryKind> KindOf(const std::string& name) {
  for (const ClaimEntryKind kind :
       {ClaimEntryKind::kClaim, ClaimEntryKind::kOutcome,
        ClaimEntryKind::kRelease}) {
    if (name == KindName(kind)) {
      return kind;
    }
  }
  return {};
}

boost::json::object EntryDocument(const ClaimEntry& entry) {
  boost::json::object object{{"kind", KindName(entry.kind)},
                             {"key", entry.key},
                             {"request", entry.request.value()},
                             {"digest", entry.digest},
                             {"attempt", entry.attempt}};
  if (entry.kind == ClaimEntryKind::kOutcome) {
    object["status"] = entry.reply.status;
    object["content_type"] = entry.reply.content_type;
    object["body"] = entry.reply.body;
  }
  return object;
}

int64_t NumberAt(const boost::json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::optional<ClaimEntry> ParseEntry(const boost::json::value& value) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) {
    return {};
  }
  const std::optional<ClaimEntryKind> kind = KindOf(StringAt(*object, "kind"));
  if (!kind) {
    return {};
  }
  ClaimEntry entry{
      .kind = *kind,
      .key = StringAt(*object, "key"),
      .request = RequestId(StringAt(*object, "request")),
      .digest = StringAt(*object, "digest"),
      .attempt = static_cast<CallerAttempt>(NumberAt(*object, "attempt")),
      .reply = {}};
  entry.reply.status = static_cast<int>(NumberAt(*object, "status"));
  entry.reply.content_type = StringAt(*object, "content_type");
  entry.reply.body = StringAt(*object, "body");
  return entry;
}

}  // namespace

std::string SerializeClaimSegment(const ClaimSegment& segment) {
  boost::json::array entries;
  for (const ClaimEntry& entry : segment.entries) {
    entries.push_back(EntryDocument(entry));
  }
  return boost::json::serialize(
      boost::json::object{{"number", static_cast<int64_t>(segment.number)},
                          {"written_at_ms", segment.written_at_ms},
                          {"writer", segment.writer.value()},
                          {"entries", std::move(entries)}});
}

std::optional<ClaimSegment> ParseClaimSegment(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  const auto* entries =
      object != nullptr ? object->if_contains("entries") : nullptr;
  if (entries == nullptr || !entries->is_array()) {
    return {};
  }
  ClaimSegment segment;
  segment.number = static_cast<uint64_t>(NumberAt(*object, "number"));
  segment.written_at_ms = NumberAt(*object, "written_at_ms");
  segment.writer = NodeId(StringAt(*object, "writer"));
  for (const boost::json::value& item : entries->get_array()) {
    std::optional<ClaimEntry> entry = ParseEntry(item);
    if (!entry) {
      return {};
    }
    segment.entries.push_back(std::move(*entry));
  }
  return segment.number > 0 ? std::optional(std::move(segment)) : std::nullopt;
}

}  // namespace pistachiowalk
