#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"

// Shared by the stand-ins: command line, event loop, clean stop on SIGTERM.
namespace pistachiowalk::stand_in {

// Name, options and request handler of a stand-in.
struct Program {
  std::string name;
  boost::program_options::options_description options;
  // Makes the request handler once the options are known.
  std::function<HttpServer::Handler(
      EventLoop& loop,
      const boost::program_options::variables_map& values)>
      make_handler;
};

// Responds with a JSON document.
void RespondJson(const HttpExchangePtr& exchange,
                 int status,
                 std::string document);

// Serves until SIGTERM; prints "listening on port N". Returns the exit code.
int RunProgram(int argc, char** argv, Program program);

}  // namespace pistachiowalk::stand_in
