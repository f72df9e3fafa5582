#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// A kind of job that a service takes.
struct KindConfiguration {
  std::string Name;
  core::Duration ExpectedRunTime{0}; ///< Used until run times are learned.
  Resources Needed;                  ///< Used until sizes are learned.
  bool Removed = false;              ///< No longer configured; keeps its index.
};

struct ServiceConfiguration {
  std::string Name;
  double MessageCostMilliseconds = 1; ///< Cost of a wasted message, as equivalent response time.
  std::vector<KindConfiguration> Kinds;
  bool Removed = false; ///< No longer configured; keeps its index.
};

struct TeamConfiguration {
  std::string Name;
  double QuotaShare = 1;                ///< Share of the slots, relative to the other teams.
  std::uint32_t MaximumQueuedTasks = 0; ///< Zero means the default of the limits.
  bool Removed = false;                 ///< No longer configured; keeps its index.
};

/// The endpoint process of one worker.
struct EndpointConfiguration {
  std::string Name;
  std::string Address; ///< IP address and port.
  std::string DataCentre;
  std::string Rack;
  std::vector<ServiceIndex> Services;
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  Resources Capacity;
  bool Remote = false;  ///< An entry VM of another data centre, to which tasks are delegated.
  bool Drained = false; ///< Set by an operator; no new work starts there.
  bool Removed = false; ///< No longer configured; keeps its index and counts as drained.
};

/// Names of the policies to use, and their parameters.
struct PolicyConfiguration {
  std::string Placement = "expected-completion";
  std::string Ordering = "fair-remaining";
  std::string Admission = "quota-deadline";
  /// Rate at which a job's age discounts its remaining work in the ordering, per second.
  double AgeingPerSecond = 0.1;
  double EvidenceHalfLifeSeconds = 300; ///< Half-life of learned run times, speeds and sizes.
  double MaximumEjectedShare = 0.2;     ///< Share of a data centre's endpoints.
  double RetryShare = 0.1;              ///< Retries allowed per started task.
  double RetriesPerSecond = 10;         ///< Retries allowed in addition to the share.
};

struct LimitsConfiguration {
  std::uint32_t MaximumTasksPerJob = 1400;
  std::uint32_t MaximumQueuedTasks = 200000;
  std::uint64_t MaximumQueuedBytes = 256ULL << 20;
  std::uint64_t MaximumOutcomeBytes = 256ULL << 20;
  core::Duration IdentifierLifetime = std::chrono::minutes(15);
  core::Duration OutcomeLifetime = std::chrono::seconds(120);
};

/// One version of the configuration in the form that the kernel uses. Indexes are positions in
/// these vectors; a new version keeps the positions of the names it shares with the old one.
struct KernelConfiguration {
  std::uint64_t Version = 0;
  std::vector<ServiceConfiguration> Services;
  std::vector<TeamConfiguration> Teams;
  std::vector<EndpointConfiguration> Endpoints;
  PolicyConfiguration Policy;
  LimitsConfiguration Limits;
};

} // namespace cornellift::kernel
