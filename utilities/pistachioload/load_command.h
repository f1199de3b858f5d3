#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

#include "load/latency_samples.h"

namespace pistachiowalk {

using LoadArguments = boost::program_options::variables_map;

// Entry nodes given by --url, in order.
std::vector<std::string> TargetUrls(const LoadArguments& arguments);

// Prints `name.p50`, `name.p95` and `name.p99` in microseconds.
void PrintQuantiles(const std::string& name, const LatencySamples& samples);

// Starts streams as Poisson arrivals, or all at once, checks every token and
// prints the outcomes and latencies. Returns the exit code.
int RunStreamLoad(const LoadArguments& arguments);

// Calls a plain service in closed loops and prints the errors and latencies.
int RunPlainLoad(const LoadArguments& arguments);

}  // namespace pistachiowalk
