#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "request/request_command.h"
#include "request/request_spec.h"
#include "utilities/measure_request/simulation_options.h"

namespace pistachiowalk::measure {

// Checks a history by what callers were told and what endpoints ran, alone.
class RequestOracle {
 public:
  // The text that an engine gives for a token of a request.
  static std::string TokenText(const RequestId& request, TokenIndex index);

  void RecordAccepted(const RequestSpec& spec, TokenIndex token_count);
  void RecordRun(const RequestSpec& spec);
  // The entry node of the request died; its caller's connection broke.
  void RecordBroken(const RequestId& request);
  // A command that reached the caller of `spec`.
  void RecordReported(const RequestSpec& spec, const RequestCommand& command);

  // Adds the violations of the whole history.
  void Evaluate(SimulationFindings& findings) const;

 private:
  struct RequestHistory {
    RequestSpec spec;
    TokenIndex token_count = 0;
    std::vector<std::string> tokens;
    uint32_t final_answers = 0;
    bool is_broken = false;
    bool is_complete = false;
    bool is_not_run = false;
    bool is_unknown = false;
  };

  bool IsStreamCorrect(const RequestHistory& history) const;
  bool IsNotRunFalse(const RequestHistory& history) const;

  std::map<RequestId, RequestHistory> m_requests;
  std::vector<RequestSpec> m_runs;
};

}  // namespace pistachiowalk::measure
