#include <memory>

#include "key_value_stand_in.h"
#include "stand_in_program.h"
#include "vm_list_stand_in.h"

// Stand-in of the platform: key-value service and VM list.
namespace pistachiowalk::stand_in {
namespace {

struct Platform {
  explicit Platform(EventLoop& loop) : store(loop) {}

  KeyValueStandIn store;
  VmListStandIn vm_list;
};

void Handle(Platform& platform, const HttpExchangePtr& exchange) {
  const std::string& path = exchange->path();
  if (path.starts_with("/v1/kv/")) {
    platform.store.Handle(exchange);
  } else if (path == "/v1/vms") {
    platform.vm_list.Handle(exchange);
  } else if (path == "/stand-in/vms") {
    platform.vm_list.HandleControl(exchange);
  } else if (path == "/stand-in/store") {
    platform.store.HandleControl(exchange);
  } else {
    RespondJson(exchange, 404, "{}");
  }
}

HttpServer::Handler MakeHandler(
    EventLoop& loop,
    const boost::program_options::variables_map& /*values*/) {
  auto platform = std::make_shared<Platform>(loop);
  return [platform](const HttpExchangePtr& exchange) {
    Handle(*platform, exchange);
  };
}

}  // namespace
}  // namespace pistachiowalk::stand_in

int main(int argc, char** argv) {
  pistachiowalk::stand_in::Program program;
  program.name = "stand_in_platform: the platform's services for tests";
  program.make_handler = pistachiowalk::stand_in::MakeHandler;
  return pistachiowalk::stand_in::RunProgram(argc, argv, std::move(program));
}
