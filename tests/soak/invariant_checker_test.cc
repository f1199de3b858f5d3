#include "soak/invariant_checker.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

// Each test feeds in the violation that a check must detect.
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SoakBounds kBounds{.reconnect_time = milliseconds(4000),
                             .config_bound = milliseconds(2500),
                             .drain_bound = milliseconds(2500),
                             .limit_window = milliseconds(8000),
                             .contact_time = milliseconds(4000),
                             .limit_overage = 0.1,
                             .limit_slack = 100.0,
                             .node_memory_bytes = size_t{160} * 1024 * 1024};
const TimePoint kNow(seconds(100));

struct Fixture {
  Fixture() : checker(kBounds) {
    checker.RecordRoute("/p/", "a", kNow - seconds(60));
    checker.RecordLimit("acme", 1000.0, kNow - seconds(60));
  }

  SoakRequest Request(RouteKind kind) const {
    return SoakRequest{.id = "r1",
                       .kind = kind,
                       .customer = "acme",
                       .path = "/p/",
                       .body = "body",
                       .tokens = 200.0,
                       .events = 2,
                       .node = "n"};
  }
  SoakRun Run(const char* id = "r1") const {
    return SoakRun{.id = id,
                   .endpoint = "e1",
                   .service = "a",
                   .customer = "acme",
                   .body = "body"};
  }
  SoakResponse Response(std::string body = SoakBody("r1")) const {
    return SoakResponse{.status = 200,
                        .has_seal = true,
                        .is_complete = true,
                        .body = std::move(body)};
  }
  bool Found(const std::string& rule) const {
    return checker.violations().size() == 1 &&
           checker.violations().front().starts_with(rule + ":");
  }

  InvariantChecker checker;
};

}  // namespace

Test(invariant_checker, a_good_request_breaks_nothing) {
  Fixture fixture;
  fixture.checker.RecordSent(fixture.Request(RouteKind::kNonIdempotent), kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  fixture.checker.RecordResponse("r1", fixture.Response(), kNow);
  cr_assert(fixture.checker.violations().empty());
  cr_assert(fixture.checker.served() == 1);
}

Test(invariant_checker, finds_runs_that_nobody_asked_for) {
  Fixture unknown;
  unknown.checker.RecordRun(unknown.Run("r9"), kNow);
  cr_assert(unknown.Found("unasked"));
  Fixture changed;
  changed.checker.RecordSent(changed.Request(RouteKind::kIdempotent), kNow);
  SoakRun run = changed.Run();
  run.customer = "zenith";
  changed.checker.RecordRun(run, kNow);
  cr_assert(changed.Found("unasked"));
}

Test(invariant_checker, finds_a_second_run) {
  Fixture fixture;
  fixture.checker.RecordSent(fixture.Request(RouteKind::kNonIdempotent), kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  cr_assert(fixture.Found("twice"));
  Fixture repeatable;
  repeatable.checker.RecordSent(repeatable.Request(RouteKind::kIdempotent),
                                kNow);
  repeatable.checker.RecordRun(repeatable.Run(), kNow);
  repeatable.checker.RecordRun(repeatable.Run(), kNow);
  cr_assert(repeatable.checker.violations().empty());
}

Test(invariant_checker, finds_refusals_of_what_ran_or_runs_later) {
  const SoakResponse refusal{.status = 503, .is_complete = true};
  Fixture before;
  before.checker.RecordSent(before.Request(RouteKind::kNonIdempotent), kNow);
  before.checker.RecordRun(before.Run(), kNow);
  before.checker.RecordResponse("r1", refusal, kNow);
  cr_assert(before.Found("refused"));
  Fixture after;
  after.checker.RecordSent(after.Request(RouteKind::kNonIdempotent), kNow);
  after.checker.RecordResponse("r1", refusal, kNow);
  after.checker.RecordRun(after.Run(), kNow);
  cr_assert(after.Found("refused"));
}

Test(invariant_checker, finds_answers_that_are_not_the_endpoints) {
  Fixture other;
  other.checker.RecordSent(other.Request(RouteKind::kIdempotent), kNow);
  other.checker.RecordRun(other.Run(), kNow);
  other.checker.RecordResponse("r1", other.Response(SoakBody("r2")), kNow);
  cr_assert(other.Found("mixed"));
  Fixture invented;
  invented.checker.RecordSent(invented.Request(RouteKind::kIdempotent), kNow);
  invented.checker.RecordResponse("r1", invented.Response(), kNow);
  cr_assert(invented.Found("mixed"));
}

Test(invariant_checker, finds_streams_that_are_not_whole) {
  const std::string first = SoakEvent("r1", 1, 2);
  const std::string second = SoakEvent("r1", 2, 2);
  const std::string swapped = second + first;
  const std::string twice = first + first + second;
  for (const std::string& body : {first, second, swapped, twice}) {
    Fixture fixture;
    fixture.checker.RecordSent(fixture.Request(RouteKind::kStream), kNow);
    fixture.checker.RecordRun(fixture.Run(), kNow);
    fixture.checker.RecordResponse("r1", fixture.Response(body), kNow);
    cr_assert(fixture.Found("order"));
  }
  Fixture whole;
  whole.checker.RecordSent(whole.Request(RouteKind::kStream), kNow);
  whole.checker.RecordRun(whole.Run(), kNow);
  whole.checker.RecordResponse("r1", whole.Response(first + second), kNow);
  cr_assert(whole.checker.violations().empty());
}

Test(invariant_checker, finds_runs_by_an_old_config_and_by_none) {
  Fixture old;
  old.checker.RecordRoute("/p/", "b", kNow - seconds(3));
  old.checker.RecordSent(old.Request(RouteKind::kIdempotent), kNow);
  old.checker.RecordRun(old.Run(), kNow);
  cr_assert(old.Found("config"));
  // A node that was disconnected until just now may still have the old config.
  Fixture cut;
  cut.checker.RecordNodeFault("n", kNow - seconds(1));
  cut.checker.RecordRoute("/p/", "b", kNow - seconds(3));
  cut.checker.RecordSent(cut.Request(RouteKind::kIdempotent), kNow);
  cut.checker.RecordRun(cut.Run(), kNow);
  cr_assert(cut.checker.violations().empty());
  Fixture none;
  none.checker.RecordSent(none.Request(RouteKind::kIdempotent), kNow);
  SoakRun run = none.Run();
  run.service = "c";
  none.checker.RecordRun(run, kNow);
  cr_assert(none.Found("route"));
}

Test(invariant_checker, finds_work_sent_to_endpoints_that_leave) {
  Fixture fixture;
  fixture.checker.RecordLeaving("e1", kNow - seconds(3));
  fixture.checker.RecordSent(fixture.Request(RouteKind::kIdempotent), kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  cr_assert(fixture.Found("drain"));
}

Test(invariant_checker, finds_use_beyond_a_limit) {
  Fixture fixture;
  for (int i = 0; i < 7; ++i) {
    SoakRequest request = fixture.Request(RouteKind::kIdempotent);
    request.id = "r" + std::to_string(i);
    fixture.checker.RecordSent(request, kNow);
    fixture.checker.RecordRun(fixture.Run(request.id.c_str()), kNow);
  }
  // 1,400 tokens against 1,200 with the tolerance.
  cr_assert(fixture.Found("limit"));
}

Test(invariant_checker, finds_requests_lost_by_a_stop) {
  Fixture fixture;
  fixture.checker.RecordSent(fixture.Request(RouteKind::kNonIdempotent), kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  fixture.checker.RecordStopRequest("n", kNow);
  fixture.checker.RecordDisconnect("r1", kNow + seconds(1));
  cr_assert(fixture.Found("lost"));
  // A request that the endpoint itself aborted does not count against the node.
  Fixture broken;
  broken.checker.RecordSent(broken.Request(RouteKind::kNonIdempotent), kNow);
  broken.checker.RecordRun(broken.Run(), kNow);
  broken.checker.RecordEndpointFault("r1");
  broken.checker.RecordStopRequest("n", kNow);
  broken.checker.RecordDisconnect("r1", kNow + seconds(1));
  cr_assert(broken.checker.violations().empty());
}

Test(invariant_checker, finds_two_holders_and_two_reports) {
  Fixture holders;
  holders.checker.RecordLeaseHolder("a", 5);
  holders.checker.RecordLeaseHolder("a", 5);
  holders.checker.RecordLeaseHolder("b", 5);
  cr_assert(holders.Found("one"));
  Fixture reports;
  reports.checker.RecordUsage("a", 5, 7, "{\"acme\":1}");
  reports.checker.RecordUsage("b", 6, 7, "{\"acme\":1}");
  reports.checker.RecordUsage("b", 6, 7, "{\"acme\":2}");
  cr_assert(reports.Found("one"));
}

Test(invariant_checker, finds_nodes_that_end_wrongly) {
  Fixture crash;
  crash.checker.RecordExit("n", 139, false);
  cr_assert(crash.Found("end"));
  Fixture cut;
  cut.checker.RecordExit("n", 4, true);
  cr_assert(cut.Found("end"));
  Fixture good;
  good.checker.RecordExit("n", 0, true);
  cr_assert(good.checker.violations().empty());
}

Test(invariant_checker, finds_prompts_that_go_on_crashing_endpoints) {
  Fixture fixture;
  const auto run = [&](int number, TimePoint now) {
    SoakRequest request = fixture.Request(RouteKind::kStream);
    request.id = "r" + std::to_string(number);
    request.tokens = 1.0;
    request.deadly_part = "dead1";
    fixture.checker.RecordSent(request, now);
    fixture.checker.RecordRun(fixture.Run(request.id.c_str()), now);
    fixture.checker.RecordCrashByRequest("e1", request.id, now);
  };
  for (int i = 0; i < 8; ++i) {
    run(i, kNow + milliseconds(500 * i));
  }
  for (int i = 8; i < 11; ++i) {
    run(i, kNow + seconds(i));
  }
  cr_assert(fixture.checker.violations().empty());
  run(11, kNow + seconds(11));
  cr_assert(fixture.Found("budget"));
}

Test(invariant_checker, finds_endpoints_that_get_more_than_they_named) {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kNow + milliseconds(400 * i);
    SoakRequest request = fixture.Request(RouteKind::kIdempotent);
    request.id = "r" + std::to_string(i);
    request.tokens = 1.0;
    fixture.checker.RecordSent(request, now);
    fixture.checker.RecordRun(fixture.Run(request.id.c_str()), now);
    fixture.checker.RecordNamedLimit("e1", request.id, 0.5, now);
  }
  cr_assert(fixture.checker.violations().size() == 1);
  cr_assert(fixture.Found("named_limit"));
}

Test(invariant_checker, finds_sound_prompts_that_are_denied) {
  Fixture fixture;
  fixture.checker.RecordSent(fixture.Request(RouteKind::kStream), kNow);
  fixture.checker.RecordResponse(
      "r1", SoakResponse{.status = 400, .is_complete = true}, kNow);
  cr_assert(fixture.Found("denied"));
}

Test(invariant_checker, finds_requests_to_endpoints_that_said_they_leave) {
  for (const bool was_restarted : {false, true}) {
    Fixture fixture;
    const auto send = [&](const char* id, TimePoint now) {
      SoakRequest request = fixture.Request(RouteKind::kIdempotent);
      request.id = id;
      fixture.checker.RecordSent(request, now);
      fixture.checker.RecordArrival("e1", id, now + milliseconds(100));
    };
    send("r1", kNow);
    fixture.checker.RecordRun(fixture.Run(), kNow);
    fixture.checker.RecordSaidLeaving("e1", "r1");
    fixture.checker.RecordResponse("r1", fixture.Response(), kNow);
    send("r2", kNow + milliseconds(2500));
    if (was_restarted) {
      fixture.checker.RecordInterruption("n");
    }
    cr_assert(fixture.checker.violations().empty());
    send("r3", kNow + milliseconds(5000));
    cr_assert(fixture.Found("said_leaving") == !was_restarted);
  }
}

Test(invariant_checker, finds_requests_during_a_pause_that_was_asked_for) {
  Fixture fixture;
  const auto send = [&](int number, TimePoint now) {
    SoakRequest request = fixture.Request(RouteKind::kIdempotent);
    request.id = "r" + std::to_string(number);
    fixture.checker.RecordSent(request, now);
    fixture.checker.RecordArrival("e1", request.id, now);
  };
  send(0, kNow);
  fixture.checker.RecordWantedPause("e1", "r0", seconds(3), kNow);
  for (int i = 1; i <= 8; ++i) {
    send(i, kNow + milliseconds(60 * i));
  }
  send(9, kNow + seconds(1));
  send(10, kNow + seconds(2));
  send(11, kNow + seconds(3));
  cr_assert(fixture.checker.violations().empty());
  fixture.checker.RecordWantedPause("e1", "r11", seconds(3), kNow + seconds(3));
  for (int i = 12; i < 15; ++i) {
    send(i, kNow + milliseconds(300 * i));
  }
  cr_assert(fixture.Found("pause"));
}

Test(invariant_checker, finds_a_node_that_holds_more_than_its_machine_has) {
  constexpr size_t kMebibyte = 1024 * 1024;
  Fixture fixture;
  fixture.checker.RecordMemory("n", 159 * kMebibyte);
  cr_assert(fixture.checker.violations().empty());
  fixture.checker.RecordMemory("n", 161 * kMebibyte);
  fixture.checker.RecordMemory("n", 162 * kMebibyte);
  cr_assert(fixture.Found("memory"));
}

Test(invariant_checker, a_stream_that_is_joined_from_two_versions) {
  for (const char* version : {"v1", "v2"}) {
    Fixture fixture;
    SoakRequest first = fixture.Request(RouteKind::kStream);
    first.is_resumable = true;
    fixture.checker.RecordSent(first, kNow);
    fixture.checker.RecordRun(fixture.Run(), kNow);
    fixture.checker.RecordFirstEvent("r1", "v1");
    SoakRequest second = first;
    second.id = "r2";
    second.resumed_id = "r1";
    second.resumes_after = 1;
    fixture.checker.RecordSent(second, kNow);
    SoakRun run = fixture.Run("r2");
    run.resumes_after = 1;
    run.version = version;
    fixture.checker.RecordRun(run, kNow);
    cr_assert(fixture.Found("joined") == (run.version == "v2"));
    cr_assert(fixture.checker.violations().size() <= 1);
  }
}

Test(invariant_checker, a_resumed_stream_with_the_events_before_it) {
  Fixture fixture;
  SoakRequest request = fixture.Request(RouteKind::kStream);
  request.resumed_id = "r0";
  request.resumes_after = 1;
  fixture.checker.RecordSent(request, kNow);
  fixture.checker.RecordRun(fixture.Run(), kNow);
  fixture.checker.RecordResponse("r1", fixture.Response(SoakEvent("r1", 2, 2)),
                                 kNow);
  cr_assert(fixture.checker.violations().empty());
  fixture.checker.RecordResponse(
      "r1", fixture.Response(SoakEvent("r1", 1, 2) + SoakEvent("r1", 2, 2)),
      kNow);
  cr_assert(fixture.Found("order"));
}
