#include "soak/witness.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

// Each check is shown to find the fault that it is there for, planted.
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SoakTerms kTerms{.contact = milliseconds(4000),
                           .config_bound = milliseconds(2500),
                           .drain_bound = milliseconds(2500),
                           .limit_window = milliseconds(8000),
                           .limit_overage = 0.1,
                           .limit_slack = 100.0};
const TimePoint kNow(seconds(100));

struct World {
  World() : witness(kTerms) {
    witness.NoteRoute("/p/", "a", kNow - seconds(60));
    witness.NoteLimit("acme", 1000.0, kNow - seconds(60));
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
  SoakAnswer Answer(std::string body = SoakBody("r1")) const {
    return SoakAnswer{.status = 200,
                      .has_seal = true,
                      .is_complete = true,
                      .body = std::move(body)};
  }
  bool Found(const std::string& rule) const {
    return witness.violations().size() == 1 &&
           witness.violations().front().starts_with(rule + ":");
  }

  Witness witness;
};

}  // namespace

Test(witness, a_good_request_breaks_nothing) {
  World world;
  world.witness.NoteSent(world.Request(RouteKind::kNonIdempotent), kNow);
  world.witness.NoteRun(world.Run(), kNow);
  world.witness.NoteAnswer("r1", world.Answer(), kNow);
  cr_assert(world.witness.violations().empty());
  cr_assert(world.witness.served() == 1);
}

Test(witness, finds_runs_that_nobody_asked_for) {
  World unknown;
  unknown.witness.NoteRun(unknown.Run("r9"), kNow);
  cr_assert(unknown.Found("unasked"));
  World changed;
  changed.witness.NoteSent(changed.Request(RouteKind::kIdempotent), kNow);
  SoakRun run = changed.Run();
  run.customer = "zenith";
  changed.witness.NoteRun(run, kNow);
  cr_assert(changed.Found("unasked"));
}

Test(witness, finds_a_second_run) {
  World world;
  world.witness.NoteSent(world.Request(RouteKind::kNonIdempotent), kNow);
  world.witness.NoteRun(world.Run(), kNow);
  world.witness.NoteRun(world.Run(), kNow);
  cr_assert(world.Found("twice"));
  World repeatable;
  repeatable.witness.NoteSent(repeatable.Request(RouteKind::kIdempotent), kNow);
  repeatable.witness.NoteRun(repeatable.Run(), kNow);
  repeatable.witness.NoteRun(repeatable.Run(), kNow);
  cr_assert(repeatable.witness.violations().empty());
}

Test(witness, finds_refusals_of_what_ran_or_runs_later) {
  const SoakAnswer refusal{.status = 503, .is_complete = true};
  World before;
  before.witness.NoteSent(before.Request(RouteKind::kNonIdempotent), kNow);
  before.witness.NoteRun(before.Run(), kNow);
  before.witness.NoteAnswer("r1", refusal, kNow);
  cr_assert(before.Found("refused"));
  World after;
  after.witness.NoteSent(after.Request(RouteKind::kNonIdempotent), kNow);
  after.witness.NoteAnswer("r1", refusal, kNow);
  after.witness.NoteRun(after.Run(), kNow);
  cr_assert(after.Found("refused"));
}

Test(witness, finds_answers_that_are_not_the_endpoints) {
  World other;
  other.witness.NoteSent(other.Request(RouteKind::kIdempotent), kNow);
  other.witness.NoteRun(other.Run(), kNow);
  other.witness.NoteAnswer("r1", other.Answer(SoakBody("r2")), kNow);
  cr_assert(other.Found("mixed"));
  World invented;
  invented.witness.NoteSent(invented.Request(RouteKind::kIdempotent), kNow);
  invented.witness.NoteAnswer("r1", invented.Answer(), kNow);
  cr_assert(invented.Found("mixed"));
}

Test(witness, finds_streams_that_are_not_whole) {
  const std::string first = SoakEvent("r1", 1, 2);
  const std::string second = SoakEvent("r1", 2, 2);
  const std::string swapped = second + first;
  const std::string twice = first + first + second;
  for (const std::string& body : {first, second, swapped, twice}) {
    World world;
    world.witness.NoteSent(world.Request(RouteKind::kStream), kNow);
    world.witness.NoteRun(world.Run(), kNow);
    world.witness.NoteAnswer("r1", world.Answer(body), kNow);
    cr_assert(world.Found("order"));
  }
  World whole;
  whole.witness.NoteSent(whole.Request(RouteKind::kStream), kNow);
  whole.witness.NoteRun(whole.Run(), kNow);
  whole.witness.NoteAnswer("r1", whole.Answer(first + second), kNow);
  cr_assert(whole.witness.violations().empty());
}

Test(witness, finds_runs_by_an_old_config_and_by_none) {
  World old;
  old.witness.NoteRoute("/p/", "b", kNow - seconds(3));
  old.witness.NoteSent(old.Request(RouteKind::kIdempotent), kNow);
  old.witness.NoteRun(old.Run(), kNow);
  cr_assert(old.Found("config"));
  // A node that was cut off until just now may not know better.
  World cut;
  cut.witness.NoteDisturbed("n", kNow - seconds(1));
  cut.witness.NoteRoute("/p/", "b", kNow - seconds(3));
  cut.witness.NoteSent(cut.Request(RouteKind::kIdempotent), kNow);
  cut.witness.NoteRun(cut.Run(), kNow);
  cr_assert(cut.witness.violations().empty());
  World none;
  none.witness.NoteSent(none.Request(RouteKind::kIdempotent), kNow);
  SoakRun run = none.Run();
  run.service = "c";
  none.witness.NoteRun(run, kNow);
  cr_assert(none.Found("route"));
}

Test(witness, finds_work_sent_to_endpoints_that_leave) {
  World world;
  world.witness.NoteLeaving("e1", kNow - seconds(3));
  world.witness.NoteSent(world.Request(RouteKind::kIdempotent), kNow);
  world.witness.NoteRun(world.Run(), kNow);
  cr_assert(world.Found("drain"));
}

Test(witness, finds_use_beyond_a_limit) {
  World world;
  for (int i = 0; i < 7; ++i) {
    SoakRequest request = world.Request(RouteKind::kIdempotent);
    request.id = "r" + std::to_string(i);
    world.witness.NoteSent(request, kNow);
    world.witness.NoteRun(world.Run(request.id.c_str()), kNow);
  }
  // 1,400 tokens against 1,200 with the tolerance.
  cr_assert(world.Found("limit"));
}

Test(witness, finds_requests_lost_by_a_stop) {
  World world;
  world.witness.NoteSent(world.Request(RouteKind::kNonIdempotent), kNow);
  world.witness.NoteRun(world.Run(), kNow);
  world.witness.NoteStopRequested("n", kNow);
  world.witness.NoteCut("r1", kNow + seconds(1));
  cr_assert(world.Found("lost"));
  // What the endpoint itself broke off is not the node's fault.
  World broken;
  broken.witness.NoteSent(broken.Request(RouteKind::kNonIdempotent), kNow);
  broken.witness.NoteRun(broken.Run(), kNow);
  broken.witness.NoteEndpointFault("r1");
  broken.witness.NoteStopRequested("n", kNow);
  broken.witness.NoteCut("r1", kNow + seconds(1));
  cr_assert(broken.witness.violations().empty());
}

Test(witness, finds_two_holders_and_two_reports) {
  World holders;
  holders.witness.NoteDuty("a", 5);
  holders.witness.NoteDuty("a", 5);
  holders.witness.NoteDuty("b", 5);
  cr_assert(holders.Found("one"));
  World reports;
  reports.witness.NoteUsage("a", 5, 7, "{\"acme\":1}");
  reports.witness.NoteUsage("b", 6, 7, "{\"acme\":1}");
  reports.witness.NoteUsage("b", 6, 7, "{\"acme\":2}");
  cr_assert(reports.Found("one"));
}

Test(witness, finds_nodes_that_end_wrongly) {
  World crash;
  crash.witness.NoteStopped("n", 139, false);
  cr_assert(crash.Found("end"));
  World cut;
  cut.witness.NoteStopped("n", 4, true);
  cr_assert(cut.Found("end"));
  World good;
  good.witness.NoteStopped("n", 0, true);
  cr_assert(good.witness.violations().empty());
}
