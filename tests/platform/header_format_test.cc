#include "platform/header_format.h"

#include <cctype>
#include <random>

#include "support/cpu_cost.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

RequestHead MakeHead() {
  RequestHead head{.method = "POST", .target = "/p/2f?x=1"};
  head.headers = {{"Host", "A.example:80"},
                  {"X-Pistachiowalk-Attempt-Id", "9c41"},
                  {"X-Pistachiowalk-Deadline-Ms", "6000"},
                  {"X-Pistachiowalk-Credential", "secret"},
                  {"x-pistachiowalk-tenant", "forged"},
                  {"X-Pistachiowalk-Hold", "forged"},
                  {"Kv-From", "forged"},
                  {"X-Pistachiowalk-Kv-Backup", "forged"},
                  {"X-Pistachiowalk-Pin-Ms", "forged"},
                  {"X-Pistachiowalk-Model", "m"},
                  {"X-Pistachiowalk-Token-Count", "1460,80"},
                  {"X-Pistachiowalk-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                  {"Connection", "keep-alive, X-Hop"},
                  {"X-Hop", "1"},
                  {"Last-Event-Id", "12"},
                  {"Resumes", "9c41"},
                  {"X-Other", "kept"}};
  return head;
}

const std::string* Find(const HttpHeaders& headers, const char* name) {
  return FindHeader(headers, name);
}

// Headers of which `Connection` lists twice as many names, none of them one of
// the others. The size of the head is proportional to `count`.
HttpHeaders HeadersThatNameOthers(size_t count) {
  constexpr size_t kFirstNumber = 1000;
  std::string names;
  HttpHeaders headers;
  for (size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(kFirstNumber + i);
    names.append("n").append(number).append(",m").append(number).append(",");
    headers.push_back({"h" + number, ""});
  }
  headers.push_back({"Connection", names});
  return headers;
}

// Whether the cost of a longer head grows in proportion to its length.
template <class Function>
bool IsProportional(const Function& write) {
  constexpr size_t kHeaders = 500;
  const HttpHeaders headers = HeadersThatNameOthers(kHeaders);
  const HttpHeaders longer = HeadersThatNameOthers(testing::kLonger * kHeaders);
  const double cost = testing::LeastCpuSeconds([&] { write(headers); });
  const double longer_cost = testing::LeastCpuSeconds([&] { write(longer); });
  cr_log_info("%.3f ms and %.3f ms", cost * 1e3, longer_cost * 1e3);
  return longer_cost <= testing::kMaximumGrowth * cost;
}

// The same name in random case.
std::string RandomCase(std::string name, std::mt19937& random) {
  for (char& c : name) {
    c = static_cast<char>(random() % 2 == 0 ? std::toupper(c)
                                            : std::tolower(c));
  }
  return name;
}

}  // namespace

Test(header_format, reads_request_headers) {
  const platform::HeaderFormat format;
  const CallerRequest request = format.ReadRequest(MakeHead());
  cr_assert(request.id == RequestId("9c41"));
  cr_assert(request.host == "a.example");
  cr_assert(request.path == "/p/2f");
  cr_assert(request.api_key == "secret");
  cr_assert(request.time_left == std::chrono::milliseconds(6000));
  cr_assert(request.tokens == std::pair(1460U, 80U));
  cr_assert(request.prompt.size() == 3 && request.prompt[1].tokens == 410);
  cr_assert(request.last_event_id == "12");
  cr_assert(request.resumed_id == RequestId("9c41"));
}

Test(header_format, shared_parts_are_all_but_the_last) {
  const platform::HeaderFormat format;
  RequestHead head = MakeHead();
  head.headers[11].value = "5c1e07a2:800, 91bd3f06:410,e4402b7d:250";
  const auto parts = format.ReadRequest(head).shared_parts;
  cr_assert(parts.size() == 2);
  cr_assert(FormatPromptPart(parts[0]) == "5c1e07a2");
  cr_assert(FormatPromptPart(parts[1]) == "91bd3f06");
  head.headers[11].value = "91bd3f06:410,5c1e07a2:800,e4:1";
  cr_assert(format.ReadRequest(head).shared_parts[1] == parts[0]);
  // Other spellings of a number are other parts.
  head.headers[11].value = "05c1e07a2:800,e4:1";
  cr_assert(format.ReadRequest(head).shared_parts[0] != parts[0]);
  for (const char* malformed : {"", "5c1e07a2", "5c1e07a2:800"}) {
    head.headers[11].value = malformed;
    cr_assert(format.ReadRequest(head).shared_parts.empty());
  }
}

Test(header_format, hashes_depend_on_the_model_and_all_earlier_blocks) {
  const platform::HeaderFormat format;
  RequestHead one = MakeHead();
  RequestHead two = MakeHead();
  two.headers[11].value = "5c:800,92:410,e4:250";
  const auto a = format.ReadRequest(one).prompt;
  const auto b = format.ReadRequest(two).prompt;
  cr_assert(a[0].hash == b[0].hash);
  cr_assert(a[1].hash != b[1].hash);
  // The last block is the same, but a block before it differs.
  cr_assert(a[2].hash != b[2].hash);
  two = MakeHead();
  two.headers[9].value = "other-model";
  cr_assert(format.ReadRequest(two).prompt[0].hash != a[0].hash);
}

Test(header_format, system_headers_of_a_caller_are_not_forwarded) {
  const platform::HeaderFormat format;
  const HttpHeaders headers = format.WriteRequest(
      MakeHead(), ForwardingFields{.time_left = std::chrono::milliseconds(900),
                                   .endpoint = EndpointId("i-7"),
                                   .customer = CustomerName("acme"),
                                   .engine_priority = 3});
  cr_assert(*Find(headers, "X-Pistachiowalk-Tenant") == "acme");
  cr_assert(*Find(headers, "X-Pistachiowalk-Deadline-Ms") == "900");
  cr_assert(*Find(headers, "X-Pistachiowalk-Expect-Instance") == "i-7");
  cr_assert(*Find(headers, "X-Pistachiowalk-Request-Priority") == "3");
  cr_assert(*Find(headers, "X-Pistachiowalk-Attempt-Id") == "9c41");
  cr_assert(*Find(headers, "X-Other") == "kept");
  cr_assert(*Find(headers, "Last-Event-Id") == "12");
  for (const char* name : {"X-Pistachiowalk-Credential", "X-Pistachiowalk-Hold",
                           "Kv-From", "X-Pistachiowalk-Kv-Backup",
                           "X-Pistachiowalk-Pin-Ms", "X-Hop", "Connection"}) {
    cr_assert(Find(headers, name) == nullptr, "%s", name);
  }
}

Test(header_format, a_resumed_attempt_replaces_the_callers_last_event_id) {
  const platform::HeaderFormat format;
  const HttpHeaders headers = format.WriteRequest(
      MakeHead(),
      ForwardingFields{.endpoint = EndpointId("i-7"), .last_event_id = "40"});
  int count = 0;
  for (const HttpHeader& header : headers) {
    count += header.name == "Last-Event-Id" ? 1 : 0;
  }
  cr_assert(count == 1);
  cr_assert(*Find(headers, "Last-Event-Id") == "40");
}

Test(header_format, only_the_system_names_the_source_of_a_prefix) {
  const platform::HeaderFormat format;
  RequestHead head = MakeHead();
  head.headers.push_back({"Kv-Fetch", "forged"});
  ForwardingFields fields{.endpoint = EndpointId("i-1")};
  cr_assert(Find(format.WriteRequest(head, fields), "Kv-Fetch") == nullptr);
  fields.fetch_from = SocketAddress{.ip = "10.1.0.14", .port = 8080};
  cr_assert(*Find(format.WriteRequest(head, fields), "Kv-Fetch") ==
            "10.1.0.14:8080");
}

Test(header_format, reads_response_headers) {
  const platform::HeaderFormat format;
  ResponseHead head{.status = 503};
  head.headers = {{"X-Pistachiowalk-Attempt-Id", "9c41"},
                  {"X-Pistachiowalk-Not-Executed", "1"},
                  {"X-Pistachiowalk-Server-Load", "3,1,8"},
                  {"X-Pistachiowalk-Instance-Id", "i-7"},
                  {"Keep-Alive", "timeout=5, max=100"},
                  {"Content-Encoding", "gzip"}};
  const EndpointResponse response = format.ReadResponse(head);
  cr_assert(response.is_not_executed && response.is_encoded &&
            !response.has_seal);
  cr_assert(response.load->running == 3 && response.load->waiting == 1);
  cr_assert(response.idle_timeout == std::chrono::seconds(5));
  cr_assert(response.endpoint == EndpointId("i-7"));
  head.headers = {{"X-Pistachiowalk-Server-Load", "3,1"},
                  {"Keep-Alive", "timeout=x"}};
  cr_assert(!format.ReadResponse(head).load);
  cr_assert(!format.ReadResponse(head).idle_timeout);
}

Test(header_format, reads_the_limit_that_an_endpoint_names) {
  const platform::HeaderFormat format;
  const auto read = [&format](const char* value) {
    ResponseHead head{.status = 200};
    head.headers = {{"Server-Limit", value}};
    return format.ReadResponse(head).rate_limit;
  };
  using State = NamedRateLimit::State;
  const auto make_limit = [](double limit) {
    return NamedRateLimit{.state = State::kNamed, .requests_per_second = limit};
  };
  cr_assert(format.ReadResponse(ResponseHead{}).rate_limit.state ==
            State::kNone);
  cr_assert(read("2.5") == make_limit(2.5));
  cr_assert(read(" 0 ") == make_limit(0.0));
  cr_assert(read("100000000000") == make_limit(1e11));
  for (const char* malformed :
       {"", "-1", "-0", "+1", "nan", "inf", "1e3", "0x10", "2,5", "1 2", "x"}) {
    cr_assert(read(malformed).state == State::kUnreadable, "%s", malformed);
  }
}

Test(header_format, a_load_with_a_fourth_figure_is_read) {
  const platform::HeaderFormat format;
  ResponseHead head{.status = 200};
  head.headers = {{"X-Pistachiowalk-Server-Load", "3,1,8,140"}};
  const EndpointResponse response = format.ReadResponse(head);
  cr_assert(response.load && response.load->running == 3 &&
            response.load->slots == 8 &&
            response.load->work_time_percent == 140);
  head.headers = {{"X-Pistachiowalk-Server-Load", "3,1,8,-1"}};
  cr_assert(format.ReadResponse(head).load &&
            !format.ReadResponse(head).load->work_time_percent);
  head.headers = {{"X-Pistachiowalk-Server-Load", "3,1,8,140,7"}};
  cr_assert(!format.ReadResponse(head).load);
}

Test(header_format, heads_that_name_many_headers_cost_their_square) {
  const platform::HeaderFormat format;
  cr_assert(IsProportional([&](const HttpHeaders& headers) {
    format.WriteRequest(RequestHead{.headers = headers}, ForwardingFields{});
  }));
  cr_assert(IsProportional([&](const HttpHeaders& headers) {
    format.WriteResponse(ResponseHead{.headers = headers});
  }));
}

Test(header_format, a_header_named_among_many_is_forwarded) {
  constexpr int kHeads = 200;
  constexpr size_t kNames = 40;
  const platform::HeaderFormat format;
  std::mt19937 random(1);
  for (int i = 0; i < kHeads; ++i) {
    HttpHeaders headers;
    HttpHeaders forwarded;
    for (size_t name = 0; name < kNames; ++name) {
      const std::string text =
          std::string(1 + name / 8, 'x') + std::to_string(name);
      const HttpHeader header{RandomCase(text, random), "1"};
      headers.push_back(header);
      if (random() % 2 == 0) {
        forwarded.push_back(header);
        continue;
      }
      const std::string value =
          " ,\t" + RandomCase(text, random) + " , Close,x";
      headers.push_back({RandomCase("Connection", random), value});
    }
    cr_assert(format.WriteResponse(ResponseHead{.headers = headers}) ==
              forwarded);
    const HttpHeaders request =
        format.WriteRequest(RequestHead{.headers = headers}, {});
    const HttpHeaders own = format.WriteRequest(RequestHead{}, {});
    forwarded.insert(forwarded.end(), own.begin(), own.end());
    cr_assert(request == forwarded);
  }
}
