#pragma once

#include "harness.h"
#include "scenario.h"

#include <nlohmann/json.hpp>

/// The kinds of experiments. Each returns its figures as JSON.
namespace yuccachute::load {

using json = nlohmann::ordered_json;

/// Live streams and bulk jobs together, for each variant in turn, round by round.
json runLoad(const scenario& described);
/// Direct calls and calls through an entry, alternating.
json runOverhead(const scenario& described);
/// One large job: time to accept, memory, calls of the store.
json runJob(const scenario& described);
/// What control costs a node at several sizes.
json runControl(const scenario& described);

/// Value below which the given share of the values lies; 0 for none. Sorts the values.
double quantile(std::vector<double>& values, double share);
double median(std::vector<double> values);

/// Processor time of a process so far, in seconds, and its resident memory in MB.
double processorSeconds(int process);
double residentMegabytes(int process);
/// Bytes that all processes of the machine have sent over IP so far, loopback included.
double bytesSent();

/// Prints the figures as a table and writes JSON, a data file and a plot into the folder.
void report(const scenario& described, const json& figures, const std::string& folder);

/// A system as the scenario describes it, with a variant's settings, not yet started.
std::unique_ptr<testing::test_system> buildSystem(const scenario& described, const variant& chosen);

} // namespace yuccachute::load
