#include "routing/endpoint_table.h"

#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ServiceName kChat("chat");

Endpoint MakeEndpoint(const std::string& id) {
  Endpoint endpoint;
  endpoint.id = EndpointId(id);
  endpoint.service = kChat;
  return endpoint;
}

std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(MakeEndpoint("e" + std::to_string(i)));
  }
  return endpoints;
}

}  // namespace

Test(endpoint_table, an_older_update_does_not_revive_a_leaving_endpoint) {
  EndpointTable table;
  const TimePoint now{};
  table.ApplyVmList({MakeEndpoint("e1")}, now);
  table.MarkLeaving(EndpointId("e1"), now);
  table.ApplyVmList({MakeEndpoint("e1")}, now);
  cr_assert(table.Live(kChat).Size() == 0);
}

Test(endpoint_table, a_long_outdated_list_does_not_revive_a_leaving_endpoint) {
  EndpointTable table;
  const TimePoint now{};
  table.ApplyVmList({MakeEndpoint("e1")}, now);
  table.MarkLeaving(EndpointId("e1"), now);
  for (int i = 0; i < 30; ++i) {
    table.ApplyVmList({MakeEndpoint("e1")}, now + minutes(i));
  }
  cr_assert(table.Live(kChat).Size() == 0);
}

Test(endpoint_table, a_peers_notice_before_the_list_is_kept) {
  EndpointTable table;
  table.MarkLeaving(EndpointId("e1"), TimePoint{});
  table.ApplyVmList({MakeEndpoint("e1")}, TimePoint{});
  cr_assert(table.Live(kChat).Size() == 0);
}

Test(endpoint_table, an_endpoint_missing_from_the_list_leaves) {
  EndpointTable table;
  table.ApplyVmList({MakeEndpoint("e1")}, TimePoint{});
  table.ApplyVmList({}, TimePoint{});
  cr_assert(table.Find(EndpointId("e1"))->is_leaving);
}

Test(endpoint_table, an_older_report_does_not_replace_a_newer_one) {
  EndpointTable table;
  const TimePoint now{};
  table.ApplyVmList({MakeEndpoint("e1")}, now);
  table.ApplyReport(EndpointId("e1"),
                    {.sampled_at = now + seconds(2), .running = 7});
  table.ApplyReport(EndpointId("e1"),
                    {.sampled_at = now + seconds(1), .running = 1});
  cr_assert(table.Find(EndpointId("e1"))->report.running == 7);
}

Test(endpoint_table, a_report_covers_only_the_sends_before_its_sample) {
  EndpointTable table;
  const TimePoint now{};
  table.ApplyVmList({MakeEndpoint("e1")}, now);
  table.AddSend(EndpointId("e1"), {.sent_at = now + seconds(1)});
  table.AddSend(EndpointId("e1"), {.sent_at = now + seconds(3)});
  table.ApplyReport(EndpointId("e1"), {.sampled_at = now + seconds(2)});
  cr_assert(table.Find(EndpointId("e1"))->recent_sends.size() == 1);
}

Test(endpoint_table, ejection_is_capped_and_ends) {
  EndpointTable table;
  const TimePoint now{};
  table.ApplyVmList(MakeEndpoints(10), now);
  for (int i = 0; i < 10; ++i) {
    table.RecordResult(EndpointId("e" + std::to_string(i)),
                       AttemptResult::kConnectionFailed, now);
  }
  int ejected = 0;
  int ejected_later = 0;
  for (const auto& [id, record] : table.records()) {
    ejected += record.ejected_until > now ? 1 : 0;
    ejected_later += record.ejected_until > now + minutes(1) ? 1 : 0;
  }
  cr_assert(ejected == 3);
  cr_assert(ejected_later == 0);
}

Test(endpoint_table, the_only_endpoint_is_never_ejected) {
  EndpointTable table;
  table.ApplyVmList({MakeEndpoint("e1")}, TimePoint{});
  for (int i = 0; i < 20; ++i) {
    table.RecordResult(EndpointId("e1"), AttemptResult::kFailed, TimePoint{});
  }
  cr_assert(table.Find(EndpointId("e1"))->ejected_until == TimePoint{});
}
