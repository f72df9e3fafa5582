#include "Utilities/Replay/ReplayRun.h"

#include <algorithm>
#include <utility>

namespace cornellift::replay {
namespace {

constexpr core::Duration TickInterval = std::chrono::milliseconds(10);
constexpr core::Duration SampleInterval = std::chrono::milliseconds(100);
/// Time until callers detect a lost entry VM by the closed connection.
constexpr core::Duration ConnectionLossDelay = std::chrono::milliseconds(100);
constexpr core::Duration ResubmissionDelay = std::chrono::milliseconds(10);
/// Limit on the submissions of a job. A caller resubmits a job that failed or may have run under a
/// new identifier; the jobs of the traces are safe to repeat.
constexpr std::uint32_t MaximumSubmissions = 20;
constexpr core::Duration CallerTimeout = std::chrono::hours(2);
/// The run ends at the latest this long after the last arrival.
constexpr double MaximumDrainMilliseconds = 900000;
constexpr double QuotaTolerance = 1.05;

} // namespace

ReplayRun::ReplayRun(const Trace &Input, const kernel::PolicyConfiguration &Policy,
                     std::optional<double> MessageCost)
    : Input_(Input), Start_(Clock_.nowMilliseconds()), Random_(Input.Seed ^ 0x5EEDULL),
      Current_(Input.Jobs.size()), CancelRequested_(Input.Jobs.size()), Teams_(Input.Teams.size()) {
  auto Configuration = std::make_shared<kernel::KernelConfiguration>(*makeConfiguration());
  Configuration->Policy = Policy;
  if (MessageCost)
    for (auto &Service : Configuration->Services)
      Service.MessageCostMilliseconds = *MessageCost;
  Configuration_ = std::move(Configuration);
  Result_.Jobs.resize(Input.Jobs.size());
  for (std::uint32_t Worker = 0; Worker < Input.Workers.size(); ++Worker)
    Workers_.emplace_back(Clock_, Input.Workers[Worker],
                          static_cast<kernel::EndpointIndex>(Worker));
  for (std::uint32_t Vm = 0; Vm < Input.EntryVms; ++Vm)
    Vms_.push_back(std::make_unique<SimulatedVm>(
        Clock_, Vm, Input.Seed, Result_.Times, Configuration_,
        [this](SimulatedVm &From, kernel::Action &Next) { perform(From, Next); }));
  Exchange_ = std::make_unique<SlotExchange>(Clock_, Input, Configuration_, Vms_, Result_.Messages);
}

std::shared_ptr<const kernel::KernelConfiguration> ReplayRun::makeConfiguration() const {
  auto Result = std::make_shared<kernel::KernelConfiguration>();
  Result->Version = 1;
  std::vector<kernel::ServiceIndex> AllServices;
  for (const auto &Service : Input_.Services) {
    kernel::ServiceConfiguration Entry{Service.Name, Service.MessageCost, {}};
    for (const auto &Kind : Service.Kinds)
      Entry.Kinds.push_back({Kind.Name, core::fromMilliseconds(Kind.Expected), Kind.Needed});
    AllServices.push_back(static_cast<kernel::ServiceIndex>(Result->Services.size()));
    Result->Services.push_back(std::move(Entry));
  }
  for (const auto &Team : Input_.Teams)
    Result->Teams.push_back({Team.Name, Team.Share, 0});
  for (const auto &Worker : Input_.Workers) {
    kernel::EndpointConfiguration Endpoint;
    Endpoint.Name = Worker.Name;
    Endpoint.DataCentre = Worker.DataCentre;
    Endpoint.Services = AllServices;
    Endpoint.Slots = Worker.Slots;
    Endpoint.Capacity = Worker.Capacity;
    Result->Endpoints.push_back(std::move(Endpoint));
  }
  return Result;
}

ReplayResult ReplayRun::run() {
  Exchange_->start();
  Unanswered_ = static_cast<std::uint32_t>(Input_.Jobs.size());
  scheduleTrace();
  every(TickInterval, [this] {
    for (auto &Vm : Vms_)
      Vm->handle(kernel::Tick{});
    if (Vms_.size() > 1)
      Exchange_->tick();
  });
  every(SampleInterval, [this] { sample(); });
  while (!isOver() && Clock_.step()) {
  }
  for (const auto &Worker : Workers_)
    Result_.DoubleStarts += Worker.doubleStarts();
  return std::move(Result_);
}

void ReplayRun::scheduleTrace() {
  for (std::uint32_t Job = 0; Job < Input_.Jobs.size(); ++Job)
    Clock_.after(core::fromMilliseconds(Input_.Jobs[Job].At), [this, Job] { submit(Job); });
  for (const auto &Change : Input_.Changes)
    Clock_.after(core::fromMilliseconds(Change.At), [this, &Change] {
      std::visit([this](const auto &Content) { apply(Content); }, Change.Content);
    });
}

void ReplayRun::every(core::Duration Interval, std::function<void()> Run) {
  Clock_.after(Interval, [this, Interval, Run = std::move(Run)] {
    Run();
    every(Interval, Run);
  });
}

bool ReplayRun::isOver() const {
  double LastArrival = Input_.Jobs.empty() ? 0 : Input_.Jobs.back().At;
  return Unanswered_ == 0 || nowInTrace() > LastArrival + MaximumDrainMilliseconds;
}

std::uint32_t ReplayRun::randomAliveVm() {
  std::vector<std::uint32_t> Alive;
  for (const auto &Vm : Vms_)
    if (Vm->IsAlive)
      Alive.push_back(Vm->index());
  return Alive[Random_() % Alive.size()];
}

void ReplayRun::submit(std::uint32_t Job) {
  const auto &Content = Input_.Jobs[Job];
  auto &Vm = *Vms_[randomAliveVm()];
  kernel::JobSpec Spec;
  Spec.Team = static_cast<kernel::TeamIndex>(Content.Team);
  Spec.Service = static_cast<kernel::ServiceIndex>(Content.Service);
  Spec.Kind = static_cast<kernel::KindIndex>(Content.Kind);
  if (Content.Deadline)
    Spec.Deadline = Clock_.now() + core::fromMilliseconds(*Content.Deadline);
  for (const auto &Task : Content.Tasks)
    Spec.Tasks.push_back({Task.DeclaredSize, core::fromMilliseconds(Task.Declared), 0});
  Spec.Payload = std::make_shared<kernel::JobPayload>(
      kernel::JobPayload{std::vector<std::string>(Content.Tasks.size())});
  auto Id = Vm.takeIdentifier(Spec.Team);
  auto Count = static_cast<std::uint32_t>(Content.Tasks.size());
  Submissions_[Id] = {Job, Vm.index(), Count, true, false, false, 0};
  Current_[Job] = Id;
  ++Result_.Jobs[Job].Submissions;
  Teams_[Content.Team].Waiting += Count;
  Vm.handle(kernel::SubmitJob{static_cast<kernel::RequestId>(Job), Id, std::move(Spec),
                              Clock_.now() + CallerTimeout});
}

void ReplayRun::resubmitLater(std::uint32_t Job) {
  Clock_.after(ResubmissionDelay, [this, Job] { submit(Job); });
}

void ReplayRun::perform(SimulatedVm &Vm, kernel::Action &Next) {
  std::visit([&](auto &Content) { onAction(Vm, Content); }, Next);
}

void ReplayRun::onAction(SimulatedVm & /*Vm*/, kernel::Respond &Next) {
  const auto *Content = std::get_if<std::shared_ptr<const kernel::Outcome>>(&Next.Content);
  auto Job = static_cast<std::uint64_t>(Next.Request);
  if (!Content || Job >= Input_.Jobs.size())
    return;
  auto Id = Current_[Job];
  if (std::holds_alternative<kernel::Complete>(**Content))
    endSubmission(Id, JobEnd::Completed);
  else if (std::holds_alternative<kernel::NotRun>(**Content))
    endSubmission(Id, JobEnd::Refused);
  else
    endSubmission(Id, JobEnd::Failed);
}

void ReplayRun::dropUnstartedTasks(Submission &Ending) {
  Teams_[Input_.Jobs[Ending.Job].Team].Waiting -= Ending.Unstarted;
  Ending.Unstarted = 0;
  Ending.IsEnding = true;
}

void ReplayRun::endSubmission(kernel::JobId Id, JobEnd End) {
  auto &Ended = Submissions_[Id];
  if (!Ended.IsOpen)
    return;
  Ended.IsOpen = false;
  auto Job = Ended.Job;
  auto &Outcome = Result_.Jobs[Job];
  dropUnstartedTasks(Ended);
  Outcome.Started = Outcome.Started || Ended.Started;
  if (End == JobEnd::Refused && Ended.Started)
    Outcome.RefusedAfterStart = true;
  if (End == JobEnd::Completed)
    Result_.UsefulWork += Ended.Work;
  if (CancelRequested_[Job] != 0 && End != JobEnd::Completed)
    End = JobEnd::Cancelled;
  bool Repeats = End == JobEnd::Failed && Input_.Jobs[Job].Nature == JobNature::Good &&
                 Outcome.Submissions < MaximumSubmissions;
  if (Repeats)
    resubmitLater(Job);
  else
    answer(Job, End);
}

void ReplayRun::answer(std::uint32_t Job, JobEnd End) {
  auto &Outcome = Result_.Jobs[Job];
  Outcome.End = End;
  Outcome.Response = nowInTrace() - Input_.Jobs[Job].At;
  --Unanswered_;
  if (Input_.Jobs[Job].Label.starts_with("burst-"))
    Result_.EndOfBurst = std::max(Result_.EndOfBurst, nowInTrace());
}

void ReplayRun::onAction(SimulatedVm &Vm, kernel::StartTask &Next) {
  auto Worker = static_cast<std::uint32_t>(Next.Endpoint);
  auto &From = Submissions_[Next.Task.Job];
  const auto &Job = Input_.Jobs[From.Job];
  ++Result_.Messages.Starts;
  --From.Unstarted;
  --Teams_[Job.Team].Waiting;
  ++Teams_[Job.Team].Running;
  TasksInSlots_[Next.Task] = nowInTrace();
  SimulatedTask Task{Next.Task, Next.Attempt, Job.Tasks[Next.Task.Index], Job.Nature};
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Worker, Task, Index = Vm.index()] {
    if (!Workers_[Worker].start(
            Task, [this, Index](kernel::Event Reply) { deliver(Index, std::move(Reply)); }))
      return;
    ++Result_.Tasks;
    Submissions_[Task.Id.Job].Started = true;
  });
}

void ReplayRun::deliver(std::uint32_t Vm, kernel::Event Next) {
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Vm, Next = std::move(Next)] {
    trackReply(Next);
    Vms_[Vm]->handle(Next);
  });
}

ReplayRun::Submission &ReplayRun::releaseSlot(kernel::TaskId Task) {
  auto &From = Submissions_[Task.Job];
  if (TasksInSlots_.erase(Task) > 0)
    --Teams_[Input_.Jobs[From.Job].Team].Running;
  return From;
}

void ReplayRun::requeueTask(Submission &Refused) {
  if (Refused.IsEnding)
    return;
  ++Refused.Unstarted;
  ++Teams_[Input_.Jobs[Refused.Job].Team].Waiting;
}

void ReplayRun::trackReply(const kernel::Event &Next) {
  if (const auto *Ended = std::get_if<kernel::TaskEnded>(&Next)) {
    auto &From = releaseSlot(Ended->Task);
    double Work = core::toMilliseconds(Ended->RunTime);
    Result_.TotalWork += Work;
    From.Work += Work;
    if (Ended->Verdict == kernel::TaskVerdict::Failed)
      dropUnstartedTasks(From);
  } else if (const auto *Refused = std::get_if<kernel::StartRefused>(&Next)) {
    ++Result_.Messages.Refused;
    requeueTask(releaseSlot(Refused->Task));
  } else if (const auto *Lost = std::get_if<kernel::TaskUncertain>(&Next)) {
    releaseSlot(Lost->Task);
  }
}

void ReplayRun::trackFenceReply(const kernel::TaskReported &Next) {
  if (Next.Report == kernel::TaskReport::NotStartedAndFenced)
    requeueTask(releaseSlot(Next.Task));
  else if (Next.Report == kernel::TaskReport::Unknown)
    dropUnstartedTasks(releaseSlot(Next.Task));
}

void ReplayRun::recordSilence(const kernel::Event &Answer) {
  std::optional<kernel::TaskId> Task;
  if (const auto *Ended = std::get_if<kernel::TaskEnded>(&Answer))
    Task = Ended->Task;
  else if (const auto *Report = std::get_if<kernel::TaskReported>(&Answer);
           Report && Report->Report == kernel::TaskReport::NotStartedAndFenced)
    Task = Report->Task;
  auto Found = Task ? TasksInSlots_.find(*Task) : TasksInSlots_.end();
  if (Found != TasksInSlots_.end())
    Result_.LongestSilence = std::max(Result_.LongestSilence, nowInTrace() - Found->second);
}

void ReplayRun::deliverQueryReply(std::uint32_t Vm, kernel::Event Answer, QueryKind Query) {
  Clock_.after(core::fromMilliseconds(Input_.OneWay),
               [this, Vm, Query, Answer = std::move(Answer)] {
                 recordSilence(Answer);
                 const auto *Report = std::get_if<kernel::TaskReported>(&Answer);
                 if (Report && Query == QueryKind::Fence)
                   trackFenceReply(*Report);
                 trackReply(Answer);
                 Vms_[Vm]->handle(Answer);
               });
}

void ReplayRun::onAction(SimulatedVm &Vm, kernel::AskTask &Next) {
  ++Result_.Messages.StatusQueries;
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Next, Index = Vm.index()] {
    const auto &Worker = Workers_[static_cast<std::size_t>(Next.Endpoint)];
    deliverQueryReply(Index, Worker.queryStatus(Next.Task, Next.Attempt), QueryKind::Status);
  });
}

void ReplayRun::onAction(SimulatedVm &Vm, kernel::FenceTask &Next) {
  ++Result_.Messages.Fences;
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Next, Index = Vm.index()] {
    auto &Worker = Workers_[static_cast<std::size_t>(Next.Endpoint)];
    deliverQueryReply(Index, Worker.fence(Next.Task, Next.Attempt), QueryKind::Fence);
  });
}

void ReplayRun::onAction(SimulatedVm & /*Vm*/, kernel::FlagLate &Next) {
  auto &Outcome = Result_.Jobs[Submissions_[Next.Job].Job];
  if (Outcome.FlaggedAt < 0)
    Outcome.FlaggedAt = nowInTrace();
}

void ReplayRun::onAction(SimulatedVm &Vm, kernel::ProbeEndpoint &Next) {
  ++Result_.Messages.Probes;
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Next, Index = Vm.index()] {
    bool Up = Workers_[static_cast<std::size_t>(Next.Endpoint)].isUp();
    deliver(Index, kernel::EndpointObserved{Next.Endpoint,
                                            Up ? kernel::EndpointObserved::Reach::Reachable
                                               : kernel::EndpointObserved::Reach::Unreachable,
                                            kernel::EndpointObserved::Standing::Live,
                                            {}});
  });
}

void ReplayRun::apply(const DataCentreChange &Change) {
  for (std::size_t Worker = 0; Worker < Workers_.size(); ++Worker)
    if (Input_.Workers[Worker].DataCentre == Change.DataCentre)
      Workers_[Worker].setState(Change.Next);
}

void ReplayRun::apply(const EntryVmLost &Change) {
  auto &Lost = *Vms_[Change.EntryVm % Vms_.size()];
  Lost.IsAlive = false;
  Clock_.after(ConnectionLossDelay, [this, Index = Lost.index()] {
    std::vector<kernel::JobId> Open;
    for (const auto &Id : Current_)
      if (auto Found = Submissions_.find(Id);
          Found != Submissions_.end() && Found->second.IsOpen && Found->second.Vm == Index)
        Open.push_back(Id);
    for (auto Id : Open)
      endSubmission(Id, JobEnd::Failed);
  });
  Exchange_->vmLost(Lost);
}

void ReplayRun::apply(const CancelWave &Change) {
  std::uniform_real_distribution<double> Draw(0, 1);
  for (std::size_t Job = 0; Job < Current_.size(); ++Job) {
    auto Found = Submissions_.find(Current_[Job]);
    if (Found == Submissions_.end() || !Found->second.IsOpen || Draw(Random_) >= Change.Share)
      continue;
    CancelRequested_[Job] = 1;
    dropUnstartedTasks(Found->second);
    auto Request = static_cast<kernel::RequestId>(Input_.Jobs.size() + Job);
    Vms_[Found->second.Vm]->handle(kernel::CancelJob{Request, Current_[Job]});
  }
}

void ReplayRun::sample() {
  Sample Now;
  Now.At = nowInTrace();
  for (const auto &Team : Teams_)
    Now.Waiting += Team.Waiting;
  for (const auto &Worker : Workers_) {
    if (!Worker.isUp())
      continue;
    Now.Slots += Worker.slots();
    Now.Busy += Worker.running();
  }
  sampleEjections(Now);
  sampleQuotas(Now.Slots);
  Result_.Samples.push_back(Now);
}

void ReplayRun::sampleEjections(Sample &Now) {
  std::unordered_map<std::string, std::pair<std::uint32_t, std::uint32_t>> DataCentres;
  for (std::uint32_t Worker = 0; Worker < Workers_.size(); ++Worker) {
    auto &[Ejected, All] = DataCentres[Input_.Workers[Worker].DataCentre];
    ++All;
    bool IsEjected = false;
    for (const auto &Vm : Vms_)
      IsEjected = IsEjected ||
                  (Vm->IsAlive && Vm->slots(Worker) > 0 &&
                   Vm->policy().health().isEjected(static_cast<kernel::EndpointIndex>(Worker)));
    Ejected += IsEjected ? 1 : 0;
    Now.Ejected += IsEjected ? 1 : 0;
  }
  for (const auto &[Name, Counts] : DataCentres)
    Result_.EjectedShare =
        std::max(Result_.EjectedShare, static_cast<double>(Counts.first) / Counts.second);
}

void ReplayRun::sampleQuotas(std::uint32_t Slots) {
  double Shares = 0;
  for (const auto &Team : Input_.Teams)
    Shares += Team.Share;
  auto Entitled = [&](std::size_t Team) { return Slots * Input_.Teams[Team].Share / Shares; };
  bool AnyStarved = false;
  bool AnyOver = false;
  for (std::size_t Team = 0; Team < Teams_.size(); ++Team) {
    AnyStarved =
        AnyStarved || (Teams_[Team].Waiting > 0 && Teams_[Team].Running + 1 < Entitled(Team));
    AnyOver = AnyOver || Teams_[Team].Running > QuotaTolerance * Entitled(Team) + 1;
  }
  auto Track = [&](double &Since, bool Holds, double &Longest) {
    if (!Holds) {
      Since = -1;
      return;
    }
    if (Since < 0)
      Since = nowInTrace();
    Longest = std::max(Longest, nowInTrace() - Since);
  };
  for (std::size_t Index = 0; Index < Teams_.size(); ++Index) {
    auto &Team = Teams_[Index];
    bool IsOver = Team.Running > QuotaTolerance * Entitled(Index) + 1;
    Track(Team.OverQuotaSince, IsOver && AnyStarved, Result_.LongestOverQuota);
    bool IsStarved = Team.Waiting > 0 && Team.Running + 1 < Entitled(Index);
    Track(Team.UnderQuotaSince, IsStarved && AnyOver, Result_.LongestUnderQuotaWait);
  }
}

} // namespace cornellift::replay
