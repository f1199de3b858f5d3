#include "stand_in_program.h"

#include <csignal>
#include <iostream>

namespace pistachiowalk::stand_in {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr size_t kMaximumBodyBytes = 4 * 1024 * 1024;
constexpr unsigned kMaximumConnections = 12000;

leaf::result<int> Serve(const Program& program,
                        const options::variables_map& values) {
  EventLoop loop;
  HttpServerOptions server_options;
  server_options.address = values["address"].as<std::string>();
  server_options.port = values["port"].as<uint16_t>();
  server_options.maximum_body_bytes = kMaximumBodyBytes;
  server_options.maximum_connections = kMaximumConnections;
  BOOST_LEAF_AUTO(server,
                  HttpServer::Create(loop, std::move(server_options),
                                     program.make_handler(loop, values)));
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << "listening on port " << server->port() << std::endl;
  loop.Run();
  return 0;
}

}  // namespace

void RespondJson(const HttpExchangePtr& exchange,
                 int status,
                 std::string document) {
  exchange->Respond(
      {status, {{"Content-Type", "application/json"}}, std::move(document)});
}

int RunProgram(int argc, char** argv, Program program) {
  std::signal(SIGPIPE, SIG_IGN);
  program.options.add_options()("help,h", "show this help")(
      "address", options::value<std::string>()->default_value("127.0.0.1"),
      "address to listen on")("port",
                              options::value<uint16_t>()->default_value(0),
                              "port to listen on; 0 takes an ephemeral one");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, program.options),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << program.name << ": " << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << program.name << "\n" << program.options;
    return 0;
  }
  return leaf::try_handle_all([&] { return Serve(program, values); },
                              [&](const NetError& error) {
                                std::cerr << program.name << ": "
                                          << error.detail << '\n';
                                return 1;
                              },
                              [] { return 1; });
}

}  // namespace pistachiowalk::stand_in
