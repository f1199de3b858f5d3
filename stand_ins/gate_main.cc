#include <memory>

#include "net/http_client.h"
#include "stand_in_program.h"

// Stand-in of the link between a place and the platform: an HTTP proxy. While
// the process is stopped (SIGSTOP), the link is cut: its connections stay open
// but transfer nothing.
namespace pistachiowalk::stand_in {
namespace {

namespace options = boost::program_options;

struct LinkProxy {
  LinkProxy(EventLoop& loop, std::string url)
      : client(loop), target_url(std::move(url)) {}

  HttpClient client;
  std::string target_url;
};

constexpr std::chrono::milliseconds kForwardTimeout{60000};

void ForwardCall(LinkProxy& proxy, const HttpExchangePtr& exchange) {
  HttpCallOptions call;
  call.method = exchange->method();
  call.url = proxy.target_url + exchange->path() + exchange->Query();
  call.body = exchange->body();
  const std::string entity_tag = exchange->Header("If-None-Match");
  if (!entity_tag.empty()) {
    call.headers = {{"If-None-Match", entity_tag}};
  }
  call.progress_timeout = kForwardTimeout;
  auto response = std::make_shared<HttpResponse>();
  HttpCallHandlers handlers;
  handlers.on_headers = [response](int status, const HttpHeaders& headers) {
    response->status = status;
    for (const char* name : {"Content-Type", "ETag"}) {
      if (const std::string* value = FindHeader(headers, name)) {
        response->headers.push_back({name, *value});
      }
    }
  };
  handlers.on_data = [response](std::string_view data) {
    response->body.append(data);
  };
  handlers.on_done = [response, exchange](const HttpCallResult& result) {
    if (result.status == HttpCallStatus::kComplete) {
      exchange->Respond(*response);
      return;
    }
    exchange->StartStream(502, {});
    exchange->Abort();
  };
  proxy.client.Start(std::move(call), std::move(handlers));
}

HttpServer::Handler MakeHandler(EventLoop& loop,
                                const options::variables_map& values) {
  auto proxy =
      std::make_shared<LinkProxy>(loop, values["target"].as<std::string>());
  return [proxy](const HttpExchangePtr& exchange) {
    ForwardCall(*proxy, exchange);
  };
}

}  // namespace
}  // namespace pistachiowalk::stand_in

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  pistachiowalk::stand_in::Program program;
  program.name = "stand_in_gate: the link between a place and the platform";
  program.options.add_options()("target",
                                options::value<std::string>()->required(),
                                "URL of the platform");
  program.make_handler = pistachiowalk::stand_in::MakeHandler;
  return pistachiowalk::stand_in::RunProgram(argc, argv, std::move(program));
}
