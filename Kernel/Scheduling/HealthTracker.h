#pragma once

#include "Kernel/KernelConfiguration.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Tells bad workers from bad jobs and decides how many tasks an endpoint may run.
///
/// Each endpoint has a score, the logarithm of how much likelier its outcomes are if it is broken
/// than if it is like the rest (a one-sided cumulative sum test). A job counts once per endpoint,
/// and not at all once it has failed on several endpoints. An ejected endpoint is asked for its
/// status after a while, then gets one task at a time, then more as these succeed.
class HealthTracker {
public:
  /// Allowed tasks of a healthy endpoint.
  static constexpr std::uint32_t Unbounded = 0xffffffff;

  void configure(const KernelConfiguration &Configuration);

  /// Whether this process holds slots of the endpoint. The bound on ejections counts those only.
  void setHeld(EndpointIndex Endpoint, bool Held);

  void succeeded(EndpointIndex Endpoint, ServiceIndex Service, KindIndex Kind);
  /// Returns the other endpoints that are no longer ejected, because the job is a bad one.
  std::vector<EndpointIndex> failed(EndpointIndex Endpoint, JobId Job, ServiceIndex Service,
                                    KindIndex Kind, core::TimePoint Now);
  /// A connection was refused, or lost with a task on it. Starts nothing there until it answers.
  void unreachable(EndpointIndex Endpoint, core::TimePoint Now);
  /// The endpoint answered a status query.
  void answered(EndpointIndex Endpoint, core::TimePoint Now);

  /// Zero while ejected or unreachable.
  std::uint32_t taskLimit(EndpointIndex Endpoint) const;
  bool isEjected(EndpointIndex Endpoint) const;
  /// On trial: its next task may well fail.
  bool isOnProbation(EndpointIndex Endpoint) const;

  /// An endpoint whose status is worth a message now. The cost is what that message is worth in
  /// milliseconds of response time; a higher one makes status queries rarer, but for endpoints that
  /// were lost together.
  std::optional<EndpointIndex> nextProbe(core::TimePoint Now, double MessageCostMilliseconds);

private:
  enum class HealthState { Healthy, Ejected, Unreachable, Probation };

  struct Record {
    HealthState Now = HealthState::Healthy;
    double Score = 0;
    std::uint32_t TaskLimit = Unbounded;
    std::uint32_t Successes = 0; ///< In a row, since the last change of Allowed.
    std::uint32_t RecentExclusions =
        0; ///< Ejections and losses in recent time; lengthens the next one.
    std::uint32_t DataCentre = 0;
    bool IsHeld = false;
    core::TimePoint ReadmitAt; ///< Earliest end of the exclusion.
    core::TimePoint ProbeAt;   ///< Next status query.
    core::TimePoint LastExclusion;
  };

  struct KindRate {
    double Ended = 0;
    double Failed = 0;
  };

  /// Which endpoints a failing job has counted against, and by how much.
  struct FailedJob {
    std::vector<std::pair<EndpointIndex, double>> Counted;
  };

  Record &at(EndpointIndex Endpoint) { return Records_[static_cast<std::size_t>(Endpoint)]; }
  KindRate &rate(ServiceIndex Service, KindIndex Kind);
  double failureShare(const KindRate &Rate) const;
  /// Whether the failure counts against the endpoint.
  bool recordJobFailure(EndpointIndex Endpoint, JobId Job, double Weight,
                        std::vector<EndpointIndex> &Readmitted);
  bool clear(EndpointIndex Endpoint, double Weight);
  void recordExclusion(Record &Endpoint, core::TimePoint Now);
  bool mayEject(std::uint32_t DataCentre) const;
  void eject(Record &Endpoint, core::TimePoint Now);
  /// Whether it was lost together with many others of its data centre.
  bool isCorrelatedFailure(const Record &Endpoint) const;
  void setStage(Record &Endpoint, HealthState Next);

  std::vector<Record> Records_;
  std::vector<std::string> DataCentres_;
  std::vector<std::uint32_t> HeldByDataCentre_; ///< Endpoints by data centre.
  std::vector<std::uint32_t> EjectedByDataCentre_;
  std::vector<std::uint32_t> UnreachableByDataCentre_;
  std::vector<std::vector<KindRate>> Rates_;
  std::unordered_map<JobId, FailedJob> FailedJobs_;
  std::deque<JobId> FailedJobOrder_;
  std::uint32_t AwaitingProbe_ = 0;
  double MaximumEjectedShare_ = 0.2;
};

} // namespace cornellift::kernel
