#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Minimum interval between reports to other managers.
constexpr core::Duration ReportInterval = std::chrono::milliseconds(20);

/// While no more than this part of the memory for jobs is free, other managers are told that the
/// workers accept no tasks. They would otherwise send refused tasks again and again.
constexpr std::size_t KeptFromDelegations = 8;

std::string_view delegatedEndName(DelegatedEnd How) {
  switch (How) {
  case DelegatedEnd::Done:
    return "done";
  case DelegatedEnd::Failed:
    return "failed";
  case DelegatedEnd::Refused:
    return "refused";
  case DelegatedEnd::TooLong:
    return "too_long";
  case DelegatedEnd::Lost:
    return "lost";
  }
  return "unknown";
}

} // namespace

void PoolManager::setManager(PeerIndex Peer, bool IsManager, core::TimePoint Now) {
  auto &Known = Remotes_[Peer];
  if (Known.IsManager == IsManager)
    return;
  Known.IsManager = IsManager;
  if (!IsManager)
    return;
  WorkersFoundAt_ = Now;
  sendDirectory(Peer);
  ReportIsDue_ = true;
  ReportAt_ = Now;
  afterEvent(Now);
}

void PoolManager::sendDirectory(PeerIndex Peer) {
  Remotes_[Peer].LastReported.clear();
  Output_.send(Peer, PoolDirectory{DirectoryVersion_, Listed_});
}

bool PoolManager::hasMemoryForDelegations() const {
  return JobBytes_ <= Settings_.JobBytes - Settings_.JobBytes / KeptFromDelegations;
}

void PoolManager::setJobBytes(std::size_t Bytes) {
  bool HadMemory = hasMemoryForDelegations();
  JobBytes_ = Bytes;
  ReportIsDue_ = ReportIsDue_ || HadMemory != hasMemoryForDelegations();
}

std::vector<WorkerAvailability> PoolManager::listedAvailability(core::TimePoint Now) const {
  std::vector<WorkerAvailability> Availabilities;
  Availabilities.reserve(ListedIndexes_.size());
  bool HasMemory = hasMemoryForDelegations();
  for (auto Index : ListedIndexes_) {
    auto &Added = Availabilities.emplace_back(availabilityOf(Index, Now));
    if (!HasMemory)
      Added.Speed = 0;
  }
  return Availabilities;
}

void PoolManager::sendReports(core::TimePoint Now) {
  if (!ReportIsDue_ || Now < ReportAt_)
    return;
  ReportIsDue_ = false;
  ReportAt_ = Now + ReportInterval;
  bool HasReaders = std::any_of(Remotes_.begin(), Remotes_.end(),
                                [](const auto &Entry) { return Entry.second.IsManager; });
  if (!HasReaders)
    return;
  auto Availabilities = listedAvailability(Now);
  for (auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager)
      continue;
    PoolReport Report{DirectoryVersion_, {}, waitingTasks()};
    bool IsNew = Known.LastReported.size() != Availabilities.size();
    for (std::size_t Position = 0; Position < Availabilities.size(); ++Position)
      if (IsNew || Known.LastReported[Position] != Availabilities[Position])
        Report.Changes.push_back({static_cast<std::uint32_t>(Position), Availabilities[Position]});
    Known.LastReported = Availabilities;
    Output_.send(Peer, std::move(Report));
  }
}

void PoolManager::acceptDelegated(PeerIndex From, const DelegateTasks &Message,
                                  core::TimePoint Now) {
  auto Key = std::pair(From, Message.Submission->Key);
  auto Known = Delegations_.find(Key);
  if (Known == Delegations_.end()) {
    if (JobBytes_ + Message.Submission->memory() > Settings_.JobBytes)
      return refuseDelegated(From, Message);
    auto &Created = createJob(From, Message.Submission, true, Now);
    Known = Delegations_.emplace(Key, Created.Handle).first;
  }
  auto Handle = Known->second;
  std::size_t Refused = 0;
  for (const auto &Delegated : Message.Tasks) {
    auto &Job = Jobs_.at(Handle);
    if (Delegated.Task >= Job.Tasks.size())
      continue;
    ++Counters_.TasksAccepted;
    Job.Tasks[Delegated.Task].LastRun = Delegated.Run;
    if (placeTask(Job, Delegated.Task, Now))
      continue;
    ++Refused;
    reportDelegatedEnd(Job, Delegated.Task, Delegated.Run, DelegatedEnd::Refused, {});
  }
  Log_.line(DecisionPriority::Routine, "accepted tasks from another manager",
            Message.Submission->Key,
            {{"peer", static_cast<std::int64_t>(From)},
             {"tasks", static_cast<std::int64_t>(Message.Tasks.size())},
             {"refused", static_cast<std::int64_t>(Refused)},
             {"open_workers", static_cast<std::int64_t>(Fleet_.heldCount())}});
  ReportIsDue_ = true;
  removeIfInactive(Handle, Now);
}

void PoolManager::refuseDelegated(PeerIndex From, const DelegateTasks &Message) {
  for (const auto &Each : Message.Tasks)
    Output_.send(From,
                 DelegatedTaskEnded{
                     Message.Submission->Key, Each.Task, Each.Run, DelegatedEnd::Refused, {}});
  Log_.line(DecisionPriority::Notable, "refused tasks of another manager", Message.Submission->Key,
            {{"peer", static_cast<std::int64_t>(From)},
             {"tasks", static_cast<std::int64_t>(Message.Tasks.size())},
             {"why", "no memory for the job"}});
}

void PoolManager::reportDelegatedEnd(PoolJob &Job, std::uint32_t Task, std::uint32_t Run,
                                     DelegatedEnd How, std::string_view Worker) {
  Output_.send(Job.Origins.front(),
               DelegatedTaskEnded{Job.key(), Task, Run, How, std::string(Worker)});
}

void PoolManager::delegatedEnded(PeerIndex From, const DelegatedTaskEnded &Message,
                                 core::TimePoint Now) {
  auto Known = OwnJobs_.find(Message.Job);
  if (Known == OwnJobs_.end())
    return;
  auto &Job = Jobs_.at(Known->second);
  if (Message.Task >= Job.Tasks.size())
    return;
  auto &Task = Job.Tasks[Message.Task];
  if (Task.State != TaskState::Delegated || Task.Manager != From || Task.LastRun != Message.Run)
    return;
  Log_.line(Message.How == DelegatedEnd::Done ? DecisionPriority::Routine
                                              : DecisionPriority::Notable,
            "delegated task ended", Message.Job,
            {{"peer", static_cast<std::int64_t>(From)},
             {"task", static_cast<std::int64_t>(Message.Task)},
             {"run", static_cast<std::int64_t>(Message.Run)},
             {"worker", std::string_view(Message.Worker)},
             {"how", delegatedEndName(Message.How)}});
  Job.HasRun = Job.HasRun || Message.How != DelegatedEnd::Refused;
  switch (Message.How) {
  case DelegatedEnd::Done:
    return finishTask(Job, Message.Task, Now);
  case DelegatedEnd::Failed:
    return failTask(Job, Message.Task, Now);
  case DelegatedEnd::Refused:
    ++Counters_.DelegationsRefused;
    Remotes_[From].Pool.refused(Now);
    return requeueTask(Job, Message.Task, Now);
  case DelegatedEnd::TooLong:
    if (!Job.IsEnding)
      endJob(Job, {JobVerdict::GivenUp, "a task cannot end before the caller's deadline", 0}, Now);
    return; // The other manager reports separately when the run has ended.
  case DelegatedEnd::Lost:
    return requeueTask(Job, Message.Task, Now);
  }
}

void PoolManager::stopDelegated(PeerIndex From, const StopDelegated &Message, core::TimePoint Now) {
  auto Known = Delegations_.find({From, Message.Job});
  if (Known == Delegations_.end())
    return; // The end has been reported already.
  auto &Job = Jobs_.at(Known->second);
  if (Message.Task < Job.Tasks.size())
    stopTask(Job, Message.Task, Now);
}

void PoolManager::requeueLostDelegations(core::TimePoint Now) {
  std::vector<std::pair<JobHandle, std::uint32_t>> Ended;
  for (auto &[Handle, Job] : Jobs_)
    for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task)
      if (Job.Tasks[Task].State == TaskState::PossiblyRunning && Now >= Job.Tasks[Task].EndedBy)
        Ended.emplace_back(Handle, Task);
  for (auto [Handle, Task] : Ended) {
    auto *Job = find(Handle);
    if (!Job)
      continue;
    Log_.line(DecisionPriority::Notable, "requeueing a task of a lost manager", Job->key(),
              {{"peer", static_cast<std::int64_t>(Job->Tasks[Task].Manager)},
               {"task", static_cast<std::int64_t>(Task)},
               {"run", static_cast<std::int64_t>(Job->Tasks[Task].LastRun)}});
    requeueTask(*Job, Task, Now);
  }
}

} // namespace cornellift::kernel
