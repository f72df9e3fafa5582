#include "Tests/Pool/PoolSimulationVm.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace cornellift::test {
namespace {

/// The watch of the workers' entries calls the store every 600 ms.
constexpr core::Duration MaximumListingLag = std::chrono::milliseconds(650);

std::string formatTime(core::TimePoint At) {
  return std::to_string(core::toMilliseconds(At.time_since_epoch()));
}

} // namespace

void TraceLog::line(DecisionPriority, std::string_view Event, std::optional<JobKey> Job,
                    std::initializer_list<DecisionField> Fields) {
  static const bool IsWanted = std::getenv("CORNELLIFT_TRACE") != nullptr;
  if (!IsWanted)
    return;
  std::cerr << core::toMilliseconds(Now_.time_since_epoch()) << ' ' << Name_ << ' ' << Event << ' '
            << (Job ? formatJobKey(*Job) : "");
  for (const auto &Field : Fields) {
    std::cerr << ' ' << Field.Name << '=';
    std::visit([](const auto &Value) { std::cerr << Value; }, Field.Value);
  }
  std::cerr << '\n';
}

PoolSimulation::PoolSimulation(const SimulationSettings &Settings)
    : Settings_(Settings), Random_(Settings.Seed), Now_(core::TimePoint(std::chrono::seconds(100))),
      Log_(Now_, "world") {
  for (std::size_t Centre = 0; Centre < Settings.DataCentres; ++Centre)
    for (std::size_t Each = 0; Each < Settings.WorkersPerDataCentre; ++Each) {
      WorkerEntry Entry;
      Entry.Id = "w" + std::to_string(Workers_.size());
      Entry.DataCentre = "dc" + std::to_string(Centre);
      Entry.Service = "print";
      Entry.Capacity = {WorkerCores, 4096, 0};
      Entry.Slots = 8;
      if (Settings.WorkersPerRack > 0)
        Entry.Labels.push_back("r" + std::to_string(Workers_.size() / Settings.WorkersPerRack));
      double Speed = Each % SlowWorkerInterval == 0 ? SlowWorkerSpeed : FastWorkerSpeed;
      Workers_.push_back(std::make_unique<standin::WorkerModel>(
          Entry, Settings.WorkerSpeed.value_or(Speed), Now_));
      Published_.push_back(Workers_.back()->entry());
    }
  Vms_.resize(Settings.DataCentres * Settings.VmsPerDataCentre);
  for (std::size_t Index = 0; Index < Vms_.size(); ++Index)
    boot(Index);
  updateLinks();
}

PoolSimulation::~PoolSimulation() = default;

void PoolSimulation::boot(std::size_t Index) {
  Vms_[Index] =
      std::make_unique<Vm>(*this, Index, "dc" + std::to_string(Index / Settings_.VmsPerDataCentre));
}

std::string PoolSimulation::dataCentreOf(std::string_view WorkerId) const {
  for (const auto &Entry : Published_)
    if (Entry.Id == WorkerId)
      return Entry.DataCentre;
  return {};
}

double PoolSimulation::randomShare() {
  return std::uniform_real_distribution<double>(0, 1)(Random_);
}

void PoolSimulation::at(core::TimePoint Time, std::function<void()> Callback) {
  Events_.push({std::max(Time, Now_), NextEvent_++, std::move(Callback)});
}

bool PoolSimulation::isConnected(std::size_t One, std::size_t Other) const {
  auto Cut = CutVms_.find(std::minmax(One, Other));
  return Cut == CutVms_.end() || Cut->second <= Now_;
}

bool PoolSimulation::isTimedOut(std::size_t One, std::size_t Other) const {
  auto Disconnected = DisconnectedSince_.find(std::minmax(One, Other));
  return Disconnected != DisconnectedSince_.end() && Now_ - Disconnected->second >= PeerTimeout;
}

core::TimePoint PoolSimulation::lastHeard(std::size_t One, std::size_t Other) const {
  auto Disconnected = DisconnectedSince_.find(std::minmax(One, Other));
  return Disconnected == DisconnectedSince_.end() ? Now_ : Disconnected->second;
}

void PoolSimulation::linkDown(std::size_t One, std::size_t Other) {
  if (Vms_[One])
    Vms_[One]->peerDown(Other, false);
  if (Vms_[Other])
    Vms_[Other]->peerDown(One, false);
}

void PoolSimulation::updateLinks() {
  for (std::size_t One = 0; One < Vms_.size(); ++One)
    for (std::size_t Other = One + 1; Other < Vms_.size(); ++Other) {
      if (!Vms_[One] || !Vms_[Other])
        continue;
      bool IsConnected =
          isConnected(One, Other) && Vms_[One]->isRunning() && Vms_[Other]->isRunning();
      auto Key = std::pair(One, Other);
      if (!IsConnected) {
        auto Since = DisconnectedSince_.emplace(Key, Now_).first->second;
        if (Now_ - Since < PeerTimeout)
          continue;
        // A frozen VM detects the loss when it resumes, before it does anything else.
        if (Vms_[One]->isRunning())
          Vms_[One]->peerDown(Other, false);
        if (Vms_[Other]->isRunning())
          Vms_[Other]->peerDown(One, false);
        continue;
      }
      auto Disconnected = DisconnectedSince_.find(Key);
      if (Disconnected != DisconnectedSince_.end() && Now_ - Disconnected->second >= PeerTimeout)
        linkDown(One, Other);
      DisconnectedSince_.erase(Key);
      if (!Vms_[One]->isLinkedTo(Other)) {
        Vms_[One]->peerUp(Other);
        Vms_[Other]->peerUp(One);
        Vms_[One]->tellCancelled(Other);
        Vms_[Other]->tellCancelled(One);
      }
    }
}

void PoolSimulation::run(core::Duration Span) {
  auto End = Now_ + Span;
  while (Now_ < End) {
    auto Next = Now_ + TickTime;
    while (!Events_.empty() && Events_.top().At <= Next) {
      auto Callback = Events_.top().Callback;
      Now_ = std::max(Now_, Events_.top().At);
      Events_.pop();
      Callback();
    }
    Now_ = Next;
    ++Revision_;
    for (const auto &Worker : Workers_)
      Worker->advance(Now_);
    updateLinks();
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index)
      if (Vms_[Index] && Vms_[Index]->isRunning())
        Vms_[Index]->tick();
  }
}

JobKey PoolSimulation::submit(const CallerWork &Work, std::string_view Extra) {
  auto Key = static_cast<JobKey>(NextKey_++);
  auto Sender = std::make_unique<Caller>();
  Sender->Submission = std::make_shared<JobSubmission>();
  auto &Submission = *Sender->Submission;
  Submission.Key = Key;
  Submission.Specification = "run_ms=" + std::to_string(Work.RunMilliseconds) +
                             " cores=" + std::to_string(Work.Cores) + " " + std::string(Extra);
  if (!Work.DataRack.empty())
    Submission.Specification +=
        " rack=" + Work.DataRack + " away=" + std::to_string(Settings_.RemoteFactor);
  JobStep Step;
  Step.Count = Work.Tasks;
  Step.Need = {Work.Cores, 64, 0};
  Step.DeclaredMilliseconds =
      Work.DeclaredMilliseconds > 0 ? Work.DeclaredMilliseconds : Work.RunMilliseconds;
  Step.DataRack = Work.DataRack;
  Submission.Steps.push_back(Step);
  Submission.Policy = {Work.Route, "print",      Work.Priority,
                       3,          Work.Stretch, TargetLatencyMilliseconds};
  Sender->DataCentre = Settings_.CallersAt.value_or(Random_() % Settings_.DataCentres);
  Sender->SentAt = Now_;
  auto &Known = *Callers_.emplace(Key, std::move(Sender)).first->second;
  attempt(Known);
  return Key;
}

void PoolSimulation::attempt(Caller &Sender) {
  ++Sender.Attempt;
  auto First = Sender.DataCentre * Settings_.VmsPerDataCentre;
  std::vector<std::size_t> Candidates;
  for (std::size_t Each = 0; Each < Settings_.VmsPerDataCentre; ++Each)
    if (Vms_[First + Each] && !Vms_[First + Each]->isStopping())
      Candidates.push_back(First + Each);
  if (Candidates.empty())
    for (std::size_t Each = 0; Each < Vms_.size(); ++Each)
      if (Vms_[Each] && !Vms_[Each]->isStopping())
        Candidates.push_back(Each);
  if (Candidates.empty()) {
    after(ResendDelay, [this, Key = Sender.Submission->Key] { attempt(*Callers_.at(Key)); });
    return;
  }
  auto Chosen = Candidates[Random_() % Candidates.size()];
  Sender.At = Chosen;
  auto Submission = std::make_shared<JobSubmission>(*Sender.Submission);
  Submission->ReceivedAt = Now_ + OneWayDelay;
  Submission->AnswerBy = Now_ + Settings_.CallerTimeout;
  // The connection ends with the process.
  auto IncarnationNumber = Vms_[Chosen]->incarnationNumber();
  after(OneWayDelay, [this, Chosen, Submission, IncarnationNumber] {
    auto Arrive = [this, Chosen, Submission, IncarnationNumber](auto &Again) -> void {
      if (!Vms_[Chosen] || Vms_[Chosen]->incarnationNumber() != IncarnationNumber)
        return;
      if (!Vms_[Chosen]->isRunning())
        return at(Vms_[Chosen]->frozenUntil(), [Again] { Again(Again); });
      Vms_[Chosen]->accept(Submission);
    };
    Arrive(Arrive);
  });
}

void PoolSimulation::callerAnswered(std::size_t Index, JobKey Key, const JobAnswer &Answer) {
  auto &Sender = *Callers_.at(Key);
  if (Sender.At != Index)
    return; // The caller has switched to another VM.
  Sender.At.reset();
  if (Answer.Verdict != JobVerdict::Rejected)
    Sender.AllRejected = false;
  if (Answer.Verdict == JobVerdict::GivenUp && Sender.Attempt < 4 && Settings_.CallersComeAgain) {
    after(ResendDelay, [this, Key] { attempt(*Callers_.at(Key)); });
    return;
  }
  ++Answered_;
  Sender.Answer = Answer;
  Sender.AnsweredAt = Now_;
  if (Answer.Verdict == JobVerdict::Completed) {
    ++Completed_;
    Sender.CompletedAt.push_back(Now_);
  }
}

void PoolSimulation::callerLost(std::size_t Index) {
  for (auto &[Key, Sender] : Callers_) {
    if (Sender->At != Index)
      continue;
    Sender->At.reset();
    Sender->AllRejected = false;
    after(ResendDelay, [this, Key = Key] { attempt(*Callers_.at(Key)); });
  }
}

void PoolSimulation::kill(std::size_t Index, core::Duration DownTime) {
  if (!Vms_[Index])
    return;
  Log_.line(DecisionPriority::StateChange, "killed", std::nullopt,
            {{"vm", static_cast<std::int64_t>(Index)}});
  for (std::size_t Other = 0; Other < Vms_.size(); ++Other)
    if (Other != Index && Vms_[Other])
      Vms_[Other]->peerDown(Index, true);
  Vms_[Index].reset();
  callerLost(Index);
  after(DownTime, [this, Index] {
    if (!Vms_[Index])
      boot(Index);
  });
}

void PoolSimulation::freeze(std::size_t Index, core::Duration Span) {
  Log_.line(DecisionPriority::StateChange, "frozen", std::nullopt,
            {{"vm", static_cast<std::int64_t>(Index)}, {"ms", core::toMilliseconds(Span)}});
  if (Vms_[Index])
    Vms_[Index]->freezeUntil(Now_ + Span);
}

void PoolSimulation::stopGracefully(std::size_t Index, core::Duration DownTime) {
  if (!Vms_[Index])
    return;
  Log_.line(DecisionPriority::StateChange, "stops", std::nullopt,
            {{"vm", static_cast<std::int64_t>(Index)}});
  Vms_[Index]->stopGracefully();
  auto Check = [this, Index, DownTime,
                KillAt = Now_ + std::chrono::seconds(6)](auto &Again) -> void {
    if (!Vms_[Index])
      return;
    if (Vms_[Index]->isDone() || Now_ >= KillAt)
      return kill(Index, DownTime);
    after(std::chrono::milliseconds(50), [Again] { Again(Again); });
  };
  Check(Check);
}

void PoolSimulation::cutVms(std::size_t One, std::size_t Other, core::Duration Span) {
  Log_.line(DecisionPriority::StateChange, "cut", std::nullopt,
            {{"one", static_cast<std::int64_t>(One)},
             {"other", static_cast<std::int64_t>(Other)},
             {"ms", core::toMilliseconds(Span)}});
  CutVms_[std::minmax(One, Other)] = Now_ + Span;
}

void PoolSimulation::cutWorker(std::size_t Vm, std::size_t Worker, core::Duration Span) {
  Log_.line(DecisionPriority::StateChange, "worker cut", std::nullopt,
            {{"vm", static_cast<std::int64_t>(Vm)},
             {"worker", static_cast<std::int64_t>(Worker)},
             {"ms", core::toMilliseconds(Span)}});
  CutWorkers_[{Vm, Worker}] = Now_ + Span;
}

void PoolSimulation::setEvacuated(std::size_t DataCentre, bool IsEvacuated) {
  auto Name = "dc" + std::to_string(DataCentre);
  Log_.line(DecisionPriority::StateChange, IsEvacuated ? "evacuated" : "restored", std::nullopt,
            {{"data_centre", std::string_view(Name)}});
  if (IsEvacuated)
    Evacuated_.insert(Name);
  else
    Evacuated_.erase(Name);
}

std::size_t PoolSimulation::startsSince(std::size_t DataCentre, core::TimePoint Since) const {
  std::size_t Count = 0;
  for (const auto &Worker : Workers_)
    if (Worker->entry().DataCentre == "dc" + std::to_string(DataCentre))
      Count += static_cast<std::size_t>(
          std::count_if(Worker->history().begin(), Worker->history().end(),
                        [&](const auto &Run) { return Run.StartedAt >= Since; }));
  return Count;
}

void PoolSimulation::restartWorker(std::size_t Worker) {
  Log_.line(DecisionPriority::StateChange, "worker restarts", std::nullopt,
            {{"worker", static_cast<std::int64_t>(Worker)}});
  Workers_[Worker]->restart(Now_);
  auto Lag = std::chrono::duration_cast<core::Duration>(MaximumListingLag * randomShare());
  after(Lag, [this, Worker] { Published_[Worker] = Workers_[Worker]->entry(); });
}

void PoolSimulation::restartWorkerUnnoticed(std::size_t Worker, core::Duration DownTime,
                                            core::Duration PollSilence) {
  for (std::size_t Vm = 0; Vm < Vms_.size(); ++Vm)
    cutWorker(Vm, Worker, DownTime);
  SilentPolls_[Worker] = Now_ + DownTime + PollSilence;
  after(DownTime, [this, Worker] { restartWorker(Worker); });
}

void PoolSimulation::takeAway(std::size_t Worker, core::Duration Notice) {
  Published_[Worker].State = WorkerState::Draining;
  Published_[Worker].StaysUntil = Now_ + Notice;
  after(Notice, [this, Worker] {
    Left_.insert(Published_[Worker].Id);
    for (std::size_t Vm = 0; Vm < Vms_.size(); ++Vm)
      cutWorker(Vm, Worker, std::chrono::hours(1));
    Workers_[Worker]->restart(Now_); // Ends its runs.
  });
}

void PoolSimulation::cancel(JobKey Key, std::size_t Vm) {
  if (!Vms_[Vm])
    return;
  at(Vms_[Vm]->frozenUntil(), [this, Key, Vm] {
    if (Vms_[Vm])
      Vms_[Vm]->cancel(Key);
  });
}

void PoolSimulation::resubmit(JobKey Key) { attempt(*Callers_.at(Key)); }

std::optional<core::TimePoint> PoolSimulation::lastEndOf(JobKey Key) const {
  std::optional<core::TimePoint> Last;
  for (const auto &Worker : Workers_)
    for (const auto &Run : Worker->history())
      if (Run.Task.Job == Key)
        Last = std::max(Last.value_or(Run.StartedAt), Run.EndedAt.value_or(Now_));
  return Last;
}

std::size_t PoolSimulation::holderCount(std::size_t Worker) const {
  std::size_t Count = 0;
  for (const auto &Each : Vms_)
    Count += Each && Each->holds(Workers_[Worker]->entry().Id) ? 1 : 0;
  return Count;
}

std::size_t PoolSimulation::count(JobVerdict Verdict) const {
  return static_cast<std::size_t>(
      std::count_if(Callers_.begin(), Callers_.end(), [&](const auto &Entry) {
        return Entry.second->Answer && Entry.second->Answer->Verdict == Verdict;
      }));
}

std::optional<JobAnswer> PoolSimulation::answerOf(JobKey Key) const {
  return Callers_.at(Key)->Answer;
}

core::Duration PoolSimulation::latencyOf(JobKey Key) const {
  return Callers_.at(Key)->AnsweredAt - Callers_.at(Key)->SentAt;
}

int PoolSimulation::attemptsOf(JobKey Key) const {
  return static_cast<int>(Callers_.at(Key)->Attempt);
}

std::vector<std::string> PoolSimulation::violations() const {
  struct Span {
    core::TimePoint From;
    core::TimePoint To;
    std::string Worker;
  };
  std::vector<std::string> Found;
  std::map<TaskRef, std::vector<Span>> Runs;
  std::set<JobKey> JobsWithRuns;
  for (const auto &Worker : Workers_)
    for (const auto &Run : Worker->history()) {
      Runs[Run.Task].push_back({Run.StartedAt, Run.EndedAt.value_or(Now_), Worker->entry().Id});
      JobsWithRuns.insert(Run.Task.Job);
    }
  for (auto &[Task, Spans] : Runs) {
    std::sort(Spans.begin(), Spans.end(),
              [](const Span &Left, const Span &Right) { return Left.From < Right.From; });
    for (std::size_t Position = 1; Position < Spans.size(); ++Position)
      if (Spans[Position].From < Spans[Position - 1].To)
        Found.push_back(
            "two runs of task " + formatJobKey(Task.Job) + "." + std::to_string(Task.Index) +
            " at the same time, on " + Spans[Position - 1].Worker + " from " +
            formatTime(Spans[Position - 1].From) + " to " + formatTime(Spans[Position - 1].To) +
            " and " + Spans[Position].Worker + " from " + formatTime(Spans[Position].From));
  }
  for (const auto &[Key, Sender] : Callers_)
    if (Sender->Answer && Sender->Answer->Verdict == JobVerdict::Rejected && Sender->AllRejected &&
        JobsWithRuns.contains(Key))
      Found.push_back("job " + formatJobKey(Key) + " was rejected although a task of it had run");
  return Found;
}

} // namespace cornellift::test
