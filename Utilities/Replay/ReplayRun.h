#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Utilities/Replay/ReplayResult.h"
#include "Utilities/Replay/SimulatedWorker.h"
#include "Utilities/Replay/SlotExchange.h"
#include "Utilities/Replay/Trace.h"

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace cornellift::replay {

/// Replays a trace on a virtual clock with one Dispatcher per entry VM.
class ReplayRun {
public:
  /// MessageCost, in milliseconds, replaces the message cost of every service when given.
  ReplayRun(const Trace &Input, const kernel::PolicyConfiguration &Policy,
            std::optional<double> MessageCost);

  ReplayResult run();

private:
  /// One submission of a job of the trace.
  struct Submission {
    std::uint32_t Job = 0; ///< Index in the trace.
    std::uint32_t Vm = 0;
    std::uint32_t Unstarted = 0; ///< Tasks that wait for a start.
    bool IsOpen = true;
    bool IsEnding = false; ///< Starts no more tasks; some may still run.
    bool Started = false;
    double Work = 0; ///< Slot milliseconds of the ended tasks.
  };

  enum class QueryKind { Status, Fence };

  struct TeamState {
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    double OverQuotaSince = -1; ///< Milliseconds; negative when not over.
    double UnderQuotaSince = -1;
  };

  std::shared_ptr<const kernel::KernelConfiguration> makeConfiguration() const;
  void scheduleTrace();
  void every(core::Duration Interval, std::function<void()> Run);
  bool isOver() const;
  double nowInTrace() const { return Clock_.nowMilliseconds() - Start_; }

  void submit(std::uint32_t Job);
  void resubmitLater(std::uint32_t Job);
  void perform(SimulatedVm &Vm, kernel::Action &Next);
  void onAction(SimulatedVm &Vm, kernel::Respond &Next);
  void onAction(SimulatedVm &Vm, kernel::StartTask &Next);
  void onAction(SimulatedVm &Vm, kernel::AskTask &Next);
  void onAction(SimulatedVm &Vm, kernel::FenceTask &Next);
  void onAction(SimulatedVm &Vm, kernel::ProbeEndpoint &Next);
  void onAction(SimulatedVm &Vm, kernel::FlagLate &Next);
  template <typename Other> void onAction(SimulatedVm & /*Vm*/, Other & /*Next*/) {}

  /// Passes a worker's reply to the VM after the one-way delay.
  void deliver(std::uint32_t Vm, kernel::Event Next);
  /// Updates the counts of waiting and running tasks from a worker's reply.
  void trackReply(const kernel::Event &Next);
  void trackFenceReply(const kernel::TaskReported &Next);
  /// Records the time that a status query or fence took to find a task on a silent connection.
  void recordSilence(const kernel::Event &Answer);
  void deliverQueryReply(std::uint32_t Vm, kernel::Event Answer, QueryKind Query);
  Submission &releaseSlot(kernel::TaskId Task);
  void requeueTask(Submission &Refused);
  /// Removes the tasks that have not started from the counts of waiting tasks.
  void dropUnstartedTasks(Submission &Ending);
  void endSubmission(kernel::JobId Id, JobEnd End);
  void answer(std::uint32_t Job, JobEnd End);

  void apply(const SpeedChange &Change) { Workers_[Change.Worker].setSpeed(Change.Speed); }
  void apply(const WorkerChange &Change) { Workers_[Change.Worker].setState(Change.Next); }
  void apply(const DataCentreChange &Change);
  void apply(const EntryVmLost &Change);
  void apply(const StoreChange & /*Change*/) {}
  void apply(const CancelWave &Change);
  void apply(const ConnectionsSilent &Change) { Workers_[Change.Worker].silenceConnections(); }

  void sample();
  void sampleQuotas(std::uint32_t Slots);
  void sampleEjections(Sample &Now);
  std::uint32_t randomAliveVm();

  const Trace &Input_;
  EventQueue Clock_;
  double Start_ = 0;
  std::mt19937_64 Random_;
  ReplayResult Result_;
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::vector<SimulatedWorker> Workers_;
  std::vector<std::unique_ptr<SimulatedVm>> Vms_;
  std::unique_ptr<SlotExchange> Exchange_;
  std::unordered_map<kernel::JobId, Submission> Submissions_;
  /// Tasks that occupy a slot in the view of their VM, with their start time in milliseconds.
  std::unordered_map<kernel::TaskId, double> TasksInSlots_;
  std::vector<kernel::JobId> Current_; ///< Latest submission of each job.
  std::vector<std::uint8_t> CancelRequested_;
  std::vector<TeamState> Teams_;
  std::uint32_t Unanswered_ = 0;
};

} // namespace cornellift::replay
