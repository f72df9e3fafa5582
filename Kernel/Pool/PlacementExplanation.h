#pragma once

#include "Kernel/Pool/AdmissionPlan.h"
#include "Kernel/Pool/PoolMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::kernel {

/// Why a worker gets no task of a step now.
enum class Exclusion : std::uint8_t {
  OtherService,
  MissingLabel, ///< It lacks the label that the step requires.
  TooSmall,     ///< The task would not fit if the worker were idle.
  Evacuated,
  Notice,   ///< It drains, and has said until when it stays.
  Draining, ///< It drains without such a notice.
  NotHeld,  ///< This manager does not hold its lease (yet).
  Silent,   ///< It does not answer polls.
  /// It has restarted, has refused a start shortly before, or runs what another manager started.
  Unsettled,
  Unhealthy,    ///< Tasks failed there: it gets none, or no more than it runs.
  NotAccepting, ///< Its own manager reports that it accepts no tasks.
  PeerRefused,  ///< Its own manager has refused a task and gets none until its next report.
  Full,
  TaskBound, ///< It runs as many tasks of the step as may run on one worker.
  Late       ///< The task is expected to end there too late.
};

/// Name of the reason in answers to operators.
std::string_view exclusionName(Exclusion Why);

/// What becomes of a step's first waiting task.
enum class TaskOutlook : std::uint8_t {
  Starts,        ///< On a worker of this manager.
  Delegated,     ///< To another manager.
  WaitsForData,  ///< For room near its data, although it could start elsewhere.
  WaitsForRoom,  ///< No worker can take it now.
  WaitsForSteps, ///< Earlier steps of the job come first.
};

std::string_view outlookName(TaskOutlook Outlook);

/// Whether the manager takes the job.
enum class AdmissionOutlook : std::uint8_t {
  Admitted,
  NoMemory,
  Evacuated,       ///< All workers that could run it are in evacuated data centres.
  NoTimeAtArrival, ///< The work that waits leaves no time for it.
  NoTimeInQueue    ///< It would be refused at the next review of the waiting jobs.
};

std::string_view admissionName(AdmissionOutlook Outlook);

/// A worker that could take the step's first waiting task now. Times are in milliseconds from now.
struct EligibleWorker {
  std::string Id;
  std::string DataCentre;
  std::optional<PeerIndex> Manager; ///< Empty for a worker of this manager.
  double EndMilliseconds = 0;       ///< Expected.
  std::uint32_t Places = 0;         ///< Tasks of the step that fit there.
  bool IsNearData = false;          ///< True also for a step without data.
  bool IsCold = false;
  bool IsRackWanted = false; ///< Other tasks want its rack, which has their data.
};

/// Workers that are excluded for the same reason.
struct ExcludedWorkers {
  std::size_t Count = 0;
  std::vector<std::string> Examples; ///< Identifiers of the first ones.
};

/// How a step's tasks weigh a wait for room near their data. Times are in milliseconds from now.
struct DataWaitOutlook {
  std::optional<double> RoomMilliseconds; ///< Until the next room there; empty if there is none.
  double RoomError = 0;                   ///< Standard error of RoomMilliseconds.
  double NearEndMilliseconds = 0;         ///< Expected end of a task in that room.
  std::uint32_t Tasks = 0;                ///< Tasks that would wait.
  double DeadlineMilliseconds = 0;        ///< End of their wait.
  double ExpectedGain = 0;                ///< Of each of them.
  std::string_view WhyNot;                ///< Why the next task would not wait; may be empty.
};

struct StepExplanation {
  std::uint32_t Tasks = 0;
  std::string DataRack;
  std::string RequiredLabel;
  double TypicalMilliseconds = 0; ///< Expected run time on a typical worker near the data.
  TaskOutlook Outlook = TaskOutlook::WaitsForRoom;
  /// The chosen worker first, then by expected end; at most MaximumEligibleListed.
  std::vector<EligibleWorker> Eligible;
  std::size_t EligibleCount = 0;
  std::uint64_t Places = 0; ///< On all eligible workers.
  std::map<Exclusion, ExcludedWorkers> Excluded;
  std::optional<DataWaitOutlook> Wait; ///< Set if a wait for room near the data is considered.
};

/// Where a job would go if it arrived now, and why, as far as its manager knows. Times are in
/// milliseconds from now.
struct PlacementExplanation {
  AdmissionOutlook Admission = AdmissionOutlook::Admitted;
  double ObjectiveMilliseconds = 0;
  double UsefulMilliseconds = 0; ///< Until an answer is of no use.
  std::size_t WaitingJobs = 0;
  std::size_t JobsAhead = 0;              ///< Waiting jobs that are placed before it.
  std::optional<double> WaitMilliseconds; ///< Until these are placed; empty if unknown.
  std::size_t StepCount = 0;
  std::vector<StepExplanation> Steps; ///< The first ones, at most MaximumStepsExplained.
};

/// Bounds on an explanation's size, for managers of thousands of workers.
constexpr std::size_t MaximumEligibleListed = 20;
constexpr std::size_t MaximumExcludedExamples = 3;
constexpr std::size_t MaximumStepsExplained = 16;

} // namespace cornellift::kernel
