#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornellift::replay {

/// A kind of job with the distributions of its sizes and run times.
struct JobShape {
  TraceKind Kind;
  double Weight = 1;      ///< Share of the jobs.
  double SmallestJob = 1; ///< Tasks.
  double LargestJob = 1;  ///< Tasks; sizes are log-uniform.
  double Median = 300;    ///< Median run time of a task in milliseconds.
  double Deviation = 0.5; ///< Standard deviation of the logarithm of the run time.
  std::string Label;
  std::uint32_t Service = 0;
};

/// Input of the trace generator: the services, teams and workers of one customer.
struct Workload {
  std::vector<TraceService> Services; ///< Without kinds; the shapes define them.
  double OneWay = 0.5;                ///< One-way message delay in milliseconds.
  std::vector<std::string> DataCentres;
  kernel::Resources Capacity;
  std::vector<TraceTeam> Teams; ///< The team "counter", if any, comes last.
  std::vector<JobShape> Shapes;
  std::vector<TraceWorker> Workers; ///< When empty, workers are generated.
};

/// Workload of the customer that prints payslips.
Workload slipworksWorkload();

/// Workload of the customer that installs fans.
Workload alarconWorkload();

/// Services, kinds and teams of a configuration document, and the first Workers endpoints of its
/// largest data centre. Message delays are those of loopback. Returns an empty optional with
/// Malformed when the document lacks a field, has too few endpoints or names a kind without a known
/// job shape.
std::optional<Workload> configuredWorkload(const nlohmann::json &Document, std::uint32_t Workers);

/// Returns the document reduced to the trace's endpoints, with the given policy. The endpoints get
/// loopback addresses with consecutive ports from FirstPort, in the order of the trace.
nlohmann::json scaledDocument(nlohmann::json Document, const Trace &Content, int FirstPort,
                              const kernel::PolicyConfiguration &Policy);

} // namespace cornellift::replay
