#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornellift::replay {

/// A kind of job and how its jobs look.
struct JobShape {
  TraceKind Kind;
  double Weight = 1;      ///< Share of the jobs.
  double SmallestJob = 1; ///< Tasks.
  double LargestJob = 1;  ///< Tasks; log-uniform in between.
  double Median = 300;    ///< Milliseconds of a task.
  double Deviation = 0.5; ///< Of the logarithm.
  std::string Label;
  std::uint32_t Service = 0;
};

/// What the generator needs to know of one user of the dispatcher.
struct Workload {
  std::vector<TraceService> Services; ///< Their kinds come from the shapes.
  double OneWay = 0.5;                ///< Milliseconds.
  std::vector<std::string> DataCentres;
  kernel::Resources Capacity;
  std::vector<TraceTeam> Teams; ///< The team "counter", when there is one, is the last.
  std::vector<JobShape> Shapes;
  std::vector<TraceWorker> Workers; ///< Empty: they are generated.
};

/// The payroll printer.
Workload slipworksWorkload();

/// The fan installer.
Workload alarconWorkload();

/// Services, kinds and teams of a configuration document, and the first Workers endpoints of its
/// largest data centre. The messages take as long as on loopback. Returns an empty optional
/// with Malformed when the document lacks a field or names a kind whose jobs have no known shape.
std::optional<Workload> configuredWorkload(const nlohmann::json &Document, std::uint32_t Workers);

/// The document with nothing but the trace's endpoints, on loopback from FirstPort on in the
/// trace's order, and with the given policy.
nlohmann::json scaledDocument(nlohmann::json Document, const Trace &Content, int FirstPort,
                              const kernel::PolicyConfiguration &Policy);

} // namespace cornellift::replay
