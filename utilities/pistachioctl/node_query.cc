#include "node_query.h"

#include <chrono>

#include "base/ini_reader.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr std::chrono::milliseconds kCallTimeout{3000};
constexpr int kStatusOk = 200;

}  // namespace

leaf::result<std::vector<NodeResponse>> QueryNodes(
    const CommandArguments& arguments,
    const std::string& path) {
  BOOST_LEAF_AUTO(nodes, RequiredOption(arguments, "nodes"));
  const std::vector<std::string> urls = SplitList(nodes);
  if (urls.empty()) {
    return leaf::new_error(UsageError{"--nodes is empty"});
  }
  EventLoop loop;
  HttpClient client(loop);
  std::vector<NodeResponse> answers(urls.size());
  size_t pending = urls.size();
  for (size_t i = 0; i < urls.size(); ++i) {
    NodeResponse& answer = answers[i];
    answer.url = urls[i];
    HttpCallOptions call;
    call.url = urls[i] + path;
    call.total_timeout = kCallTimeout;
    HttpCallHandlers handlers;
    handlers.on_data = [&answer](std::string_view data) {
      answer.body.append(data);
    };
    handlers.on_done = [&](const HttpCallResult& result) {
      answer.is_success = result.status == HttpCallStatus::kComplete &&
                          result.http_status == kStatusOk;
      answer.detail = result.detail;
      if (--pending == 0) {
        loop.Stop();
      }
    };
    client.Start(std::move(call), std::move(handlers));
  }
  loop.Run();
  return answers;
}

options::options_description NodeQueryOptions() {
  options::options_description description;
  description.add_options()("nodes", options::value<std::string>(),
                            "URLs of nodes, separated by commas");
  description.add_options()("json", "print JSON");
  return description;
}

}  // namespace pistachiowalk
