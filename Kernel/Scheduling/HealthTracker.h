#pragma once

#include "Kernel/KernelConfiguration.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Distinguishes faulty endpoints from faulty jobs and decides how many tasks an endpoint may run.
///
/// Each endpoint has a score: the logarithm of the likelihood ratio of its outcomes if it is broken
/// versus if it is like the others (a one-sided cumulative sum test). A job counts once per
/// endpoint, and not at all once it has failed on several endpoints. An ejected endpoint is probed
/// after a while; when it answers, it gets one task at a time, then more as these succeed.
class HealthTracker {
public:
  /// Task limit of a healthy endpoint.
  static constexpr std::uint32_t Unbounded = 0xffffffff;

  void configure(const KernelConfiguration &Configuration);

  /// Sets whether this process holds slots of the endpoint. The limit on ejections counts only
  /// those.
  void setHeld(EndpointIndex Endpoint, bool Held);

  void succeeded(EndpointIndex Endpoint, ServiceIndex Service, KindIndex Kind);
  /// Returns the other endpoints whose ejection is revoked because the job proved faulty.
  std::vector<EndpointIndex> failed(EndpointIndex Endpoint, JobId Job, ServiceIndex Service,
                                    KindIndex Kind, core::TimePoint Now);
  /// A connection was refused, or lost while it carried a task. No task starts there until the
  /// endpoint answers a probe.
  void unreachable(EndpointIndex Endpoint, core::TimePoint Now);
  /// The endpoint answered a status probe.
  void answered(EndpointIndex Endpoint, core::TimePoint Now);

  /// Maximum number of running tasks; zero while ejected or unreachable.
  std::uint32_t taskLimit(EndpointIndex Endpoint) const;
  bool isEjected(EndpointIndex Endpoint) const;
  /// Returns whether the endpoint was readmitted recently, so that its next task may well fail.
  bool isOnProbation(EndpointIndex Endpoint) const;

  /// Returns an endpoint that is due for a status probe. The cost of that message is in
  /// milliseconds of response time; a higher cost makes probes rarer, except for endpoints that
  /// were lost together.
  std::optional<EndpointIndex> nextProbe(core::TimePoint Now, double MessageCostMilliseconds);

private:
  enum class HealthState { Healthy, Ejected, Unreachable, Probation };

  struct Record {
    HealthState Health = HealthState::Healthy;
    double Score = 0;
    std::uint32_t TaskLimit = Unbounded;
    std::uint32_t Successes = 0;        ///< Consecutive ones since the last change of TaskLimit.
    std::uint32_t RecentExclusions = 0; ///< Recent ejections and losses; lengthen the next one.
    std::uint32_t DataCentre = 0;
    bool IsHeld = false;
    core::TimePoint ReadmitAt; ///< Earliest end of the exclusion.
    core::TimePoint ProbeAt;   ///< Time of the next probe.
    core::TimePoint LastExclusion;
  };

  struct KindRate {
    double Ended = 0;
    double Failed = 0;
  };

  /// Endpoints that a failing job has counted against, with the weight added to their scores.
  struct FailedJob {
    std::vector<std::pair<EndpointIndex, double>> Counted;
  };

  Record &at(EndpointIndex Endpoint) { return Records_[static_cast<std::size_t>(Endpoint)]; }
  KindRate &rate(ServiceIndex Service, KindIndex Kind);
  double failureShare(const KindRate &Rate) const;
  /// Records the failure of a job. Returns whether it counts against the endpoint.
  bool recordJobFailure(EndpointIndex Endpoint, JobId Job, double Weight,
                        std::vector<EndpointIndex> &Readmitted);
  bool retractFailure(EndpointIndex Endpoint, double Weight);
  /// Gives the endpoint no tasks for FirstWait, which doubles with each recent exclusion.
  void exclude(Record &Endpoint, HealthState Next, core::Duration FirstWait, core::TimePoint Now);
  bool mayEject(std::uint32_t DataCentre) const;
  void eject(Record &Endpoint, core::TimePoint Now);
  /// Returns whether the endpoint became unreachable together with many others of its data centre.
  bool isCorrelatedFailure(const Record &Endpoint) const;
  void setHealthState(Record &Endpoint, HealthState Next);

  std::vector<Record> Records_;
  std::vector<std::string> DataCentres_;
  /// Number of endpoints with held slots, ejected and unreachable endpoints, by data centre.
  std::vector<std::uint32_t> HeldByDataCentre_;
  std::vector<std::uint32_t> EjectedByDataCentre_;
  std::vector<std::uint32_t> UnreachableByDataCentre_;
  std::vector<std::vector<KindRate>> Rates_;
  std::unordered_map<JobId, FailedJob> FailedJobs_;
  std::deque<JobId> FailedJobOrder_;
  std::uint32_t AwaitingProbe_ = 0;
  double MaximumEjectedShare_ = 0.2;
};

} // namespace cornellift::kernel
