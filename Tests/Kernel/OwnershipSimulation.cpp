#include "OwnershipSimulation.h"

#include "Kernel/Delegation/DelegatedTable.h"
#include "OwnershipProcess.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Short, so that they expire within traces of a few hundred steps.
constexpr core::Duration IdentifierLifetime = std::chrono::seconds(3);
constexpr core::Duration OutcomeLifetime = std::chrono::seconds(2);
constexpr std::uint64_t MaximumOutcomeBytes = 4000;
constexpr std::size_t MaximumQueuedTasks = 24;
constexpr std::size_t EndpointCapacity = 2;
constexpr std::uint32_t SlotsPerEndpoint = 1;
/// Longer than the retention of identifier blocks and of delegated tasks.
constexpr core::Duration LongWait = std::chrono::minutes(40);
constexpr int SettleRounds = 60;

std::string resultOf(const std::string &Payload) { return "result of " + Payload; }

std::shared_ptr<const KernelConfiguration> configuration() {
  KernelConfiguration Result;
  Result.Teams = {{"north"}};
  Result.Services.push_back({"render", 1, {{"frame", {}, {}}}});
  Result.Endpoints.resize(OwnershipSimulation::Endpoints + OwnershipSimulation::Vms);
  for (auto &Endpoint : Result.Endpoints)
    Endpoint.Slots = SlotsPerEndpoint;
  Result.Limits.MaximumQueuedTasks = MaximumQueuedTasks;
  Result.Limits.MaximumOutcomeBytes = MaximumOutcomeBytes;
  Result.Limits.IdentifierLifetime = IdentifierLifetime;
  Result.Limits.OutcomeLifetime = OutcomeLifetime;
  return std::make_shared<const KernelConfiguration>(std::move(Result));
}

/// True for a caller's request in transit from one entry VM to another, which has a number already.
template <typename Message> bool forwarded(const Message &Next) {
  const auto *Delivered = std::get_if<1>(&Next);
  return Delivered && (std::holds_alternative<SubmitJob>(Delivered->Content) ||
                       std::holds_alternative<AskOutcome>(Delivered->Content) ||
                       std::holds_alternative<CancelJob>(Delivered->Content));
}

} // namespace

bool OwnershipSimulation::arrivesAtMostOnce(const Message &Next) {
  const auto *Call = std::get_if<EndpointCall>(&Next);
  return forwarded(Next) || (Call && Call->Operation == EndpointCall::Kind::Start);
}

OwnershipSimulation::OwnershipSimulation()
    : Configuration_(configuration()), Endpoints_(Endpoints) {
  Current_.resize(Vms);
  for (std::uint32_t Vm = 0; Vm < Vms; ++Vm)
    startProcess(Vm);
}

OwnershipSimulation::~OwnershipSimulation() = default;

void OwnershipSimulation::apply(const Step &Next) {
  auto Vm = Next.First % Vms;
  auto *At = serving(Vm);
  auto Chosen = Messages_.empty() ? 0 : Next.First % Messages_.size();
  auto TakeMessage = [&] {
    auto Taken = std::move(Messages_[Chosen]);
    Messages_.erase(Messages_.begin() + static_cast<std::ptrdiff_t>(Chosen));
    return Taken;
  };
  auto Earlier = [&] { return Submitted_[Next.Second % Submitted_.size()]; };
  switch (Next.Kind) {
  case StepKind::Deliver:
    return Messages_.empty() ? void() : deliver(TakeMessage());
  case StepKind::Duplicate:
    return Messages_.empty() || arrivesAtMostOnce(Messages_[Chosen]) ? void()
                                                                     : deliver(Messages_[Chosen]);
  case StepKind::Lose:
    return Messages_.empty() ? void() : dropMessage(TakeMessage());
  case StepKind::CutConnection:
    // The sender sees the connection end, but the message still arrives later.
    return Messages_.empty() || forwarded(Messages_[Chosen]) ? void()
                                                             : dropMessage(Messages_[Chosen]);
  case StepKind::EndTask:
    return endTask(Next.First, Next.Second);
  case StepKind::Advance:
    return advance(std::chrono::milliseconds(Next.First % 600));
  case StepKind::LongWait:
    return advance(LongWait);
  case StepKind::OpenSession:
    if (At)
      At->handle(OpenSession{newRequest(At->Name, {Request::Kind::Session})});
    return;
  case StepKind::Submit:
    if (Unused_.empty())
      return;
    Submitted_.push_back({Unused_.back(), Next.Second});
    Unused_.pop_back();
    return submit(Vm, Submitted_.back().Job, Next.Second);
  case StepKind::Resubmit:
    return Submitted_.empty() ? void() : submit(Vm, Earlier().Job, Earlier().Tag);
  case StepKind::SubmitOther:
    return Submitted_.empty() ? void() : submit(Vm, Earlier().Job, Earlier().Tag + 1);
  case StepKind::Ask:
    return Submitted_.empty() ? void() : ask(Vm, Earlier().Job, Request::Kind::Ask);
  case StepKind::Cancel:
    return Submitted_.empty() ? void() : ask(Vm, Earlier().Job, Request::Kind::Cancel);
  case StepKind::Abandon:
    return abandon(Next.First);
  case StepKind::Kill:
    Processes_.erase(Current_[Vm]);
    return;
  case StepKind::Restart:
    // A paused process is kept, because it may be resumed after its replacement has started.
    return At ? void() : startProcess(Vm);
  case StepKind::Pause:
    if (At)
      At->State = Process::Condition::Paused;
    return;
  case StepKind::Resume:
    for (auto &[Name, Each] : Processes_)
      Each->State = Process::Condition::Running;
    return;
  case StepKind::NoticeDeath:
    return noticeDeaths();
  case StepKind::RestartEndpoint:
    return restartEndpoint(Next.First, Next.Second);
  case StepKind::ToggleLeaving: {
    auto &Standing = Endpoints_[Next.First % Endpoints].State;
    Standing = Standing == Endpoint::Standing::Live ? Endpoint::Standing::Leaving
                                                    : Endpoint::Standing::Live;
    return;
  }
  case StepKind::Stop:
    if (At && !At->Sealing)
      At->stop(Current_[Next.Second % Vms]);
    return;
  case StepKind::RetrySeal:
  case StepKind::GiveUpSeal:
    return resolveSeals(Next);
  case StepKind::Overdue:
    if (At)
      At->handle(StopOverdue{});
    return;
  case StepKind::Count:
    break;
  }
}

void OwnershipSimulation::settle() {
  apply({StepKind::Resume});
  for (auto &Each : Endpoints_)
    Each.State = Endpoint::Standing::Live;
  for (int Round = 0; Round < SettleRounds; ++Round) {
    for (auto Left = Messages_.size() * 2; Left > 0 && !Messages_.empty(); --Left)
      apply({StepKind::Deliver, 0});
    for (std::size_t Left = Endpoints * EndpointCapacity; Left > 0; --Left)
      endTask(0, 1);
    for (std::uint32_t Vm = 0; Vm < Vms; ++Vm)
      apply({StepKind::GiveUpSeal, Vm});
    noticeDeaths();
    advance(std::chrono::seconds(2));
  }
  for (auto &[Name, Each] : Processes_)
    if (auto Left = Each->counters(); Left.ActiveJobs + Left.RunningTasks > 0)
      throw InvariantViolation("a job never ends");
  for (auto &[Key, Item] : Requests_)
    if (Item.CurrentState == Request::State::Open && Processes_.contains(Key.first))
      throw InvariantViolation("a request is never answered");
}

JobSpec OwnershipSimulation::specFor(std::uint32_t Tag, core::TimePoint Now) {
  JobSpec Spec;
  JobPayload Payload;
  for (std::uint32_t Index = 0; Index <= Tag % 3; ++Index)
    Payload.Tasks.push_back(std::to_string(Tag) + "/" + std::to_string(Index));
  Spec.Tasks.resize(Payload.Tasks.size());
  Spec.Payload = std::make_shared<const JobPayload>(std::move(Payload));
  if (Tag % 5 == 0)
    Spec.Deadline = Now + std::chrono::milliseconds(400);
  return Spec;
}

std::vector<std::string> OwnershipSimulation::resultsFor(std::uint32_t Tag) {
  std::vector<std::string> Results;
  auto Spec = specFor(Tag, {});
  for (const auto &Payload : Spec.Payload->Tasks)
    Results.push_back(resultOf(Payload));
  return Results;
}

void OwnershipSimulation::startProcess(std::uint32_t Vm) {
  constexpr std::int64_t ClockSteps[] = {0, 40, -40, 150, -150};
  Incarnation Name{++LastIncarnation_};
  auto ClockError = std::chrono::milliseconds(ClockSteps[Name.Value % std::size(ClockSteps)]);
  Current_[Vm] = Name;
  Processes_.emplace(Name, std::make_unique<Process>(*this, Name, ClockError));
}

OwnershipSimulation::Process *OwnershipSimulation::find(Incarnation Name) {
  auto Found = Processes_.find(Name);
  return Found == Processes_.end() ? nullptr : Found->second.get();
}

OwnershipSimulation::Process *OwnershipSimulation::serving(std::uint32_t Vm) {
  auto *Found = find(Current_[Vm]);
  return Found && Found->State == Process::Condition::Running ? Found : nullptr;
}

void OwnershipSimulation::deliver(Message Next) {
  std::visit([this](auto &Content) { deliverTo(Content); }, Next);
}

void OwnershipSimulation::deliverTo(EndpointCall &Call) {
  auto &Target = Endpoints_[Call.Endpoint];
  if (Call.Operation == EndpointCall::Kind::Start)
    return deliverStart(Target, Call);
  auto Reply = [&](TaskReport Report) {
    send(Delivery{Call.From,
                  TaskReported{Call.Task, EndpointIndex{Call.Endpoint}, Report, Call.Attempt}});
  };
  auto Found = Target.Records.find(Call.Task);
  if (Found == Target.Records.end()) {
    if (Call.Operation == EndpointCall::Kind::Fence)
      Target.Records[Call.Task] = {EndpointRecord::State::Fenced, {}, 0, 0, {}};
    bool Proved = Call.Operation == EndpointCall::Kind::Fence && Call.Boot == Target.Boot;
    return Reply(Proved ? TaskReport::NotStartedAndFenced : TaskReport::Unknown);
  }
  const auto &Record = Found->second;
  if (Record.CurrentState == EndpointRecord::State::Running)
    return Reply(TaskReport::Running);
  if (Record.CurrentState == EndpointRecord::State::Fenced)
    return Reply(Call.Boot == Target.Boot ? TaskReport::NotStartedAndFenced : TaskReport::Unknown);
  auto Verdict = Record.CurrentState == EndpointRecord::State::Finished ? TaskVerdict::Finished
                                                                        : TaskVerdict::Failed;
  send(Delivery{Call.From, TaskEnded{Call.Task,
                                     EndpointIndex{Call.Endpoint},
                                     Verdict,
                                     std::make_shared<const std::string>(Record.Result),
                                     {},
                                     {},
                                     Call.Attempt}});
}

void OwnershipSimulation::deliverStart(Endpoint &Target, EndpointCall &Call) {
  EndpointIndex Index{Call.Endpoint};
  if (Call.Boot != Target.Boot) {
    send(Delivery{Call.From, TaskUncertain{Call.Task, Index, Call.Attempt}});
    return;
  }
  auto Refuse = [&](StartRefusal Cause) {
    send(Delivery{Call.From, StartRefused{Call.Task, Index, Cause, Call.Attempt}});
  };
  auto Found = Target.Records.find(Call.Task);
  if (Found != Target.Records.end()) {
    if (Found->second.CurrentState == EndpointRecord::State::Fenced)
      Refuse(StartRefusal::Fenced);
    return;
  }
  if (Target.State == Endpoint::Standing::Leaving)
    return Refuse(StartRefusal::Leaving);
  auto Busy = std::ranges::count_if(Target.Records, [](const auto &Entry) {
    return Entry.second.CurrentState == EndpointRecord::State::Running;
  });
  if (static_cast<std::size_t>(Busy) >= EndpointCapacity)
    return Refuse(StartRefusal::NoSlot);
  recordStart(Call.Task);
  Target.Records[Call.Task] = {EndpointRecord::State::Running, Call.From, Call.Attempt,
                               Call.TaskCount, resultOf(Call.Payload)};
}

void OwnershipSimulation::deliverTo(Delivery &Event) {
  auto *To = find(Event.To);
  if (!To)
    return;
  if (To->State == Process::Condition::Paused)
    return send(std::move(Event));
  To->handle(std::move(Event.Content));
}

void OwnershipSimulation::deliverTo(PeerCall &Call) {
  auto *To = find(Call.To);
  if (!To)
    return dropMessage(Call);
  if (To->State == Process::Condition::Paused)
    return send(std::move(Call));
  Request Received{Request::Kind::Peer};
  Received.Call = std::make_shared<PeerCall>(Call);
  auto Number = newRequest(To->Name, std::move(Received));
  std::visit(
      [&](auto &Content) {
        Content.Request = Number;
        To->handle(Content);
      },
      Call.Content);
}

void OwnershipSimulation::deliverTo(PeerReply &Reply) {
  auto *To = find(Reply.Call.From);
  if (To && To->State == Process::Condition::Paused)
    return send(std::move(Reply));
  if (To)
    To->onReply(Reply.Call, Reply.Reply);
}

void OwnershipSimulation::dropMessage(Message Lost) {
  if (auto *Call = std::get_if<EndpointCall>(&Lost)) {
    EndpointIndex Index{Call->Endpoint};
    Event Substitute =
        Call->Operation == EndpointCall::Kind::Start
            ? Event(TaskUncertain{Call->Task, Index, Call->Attempt})
            : Event(TaskReported{Call->Task, Index, TaskReport::Unknown, Call->Attempt});
    return send(Delivery{Call->From, std::move(Substitute)});
  }
  if (auto *Dropped = std::get_if<Delivery>(&Lost)) {
    // The sender observes a lost reply to a start as a lost connection.
    if (const auto *Refused = std::get_if<StartRefused>(&Dropped->Content))
      Dropped->Content = TaskUncertain{Refused->Task, Refused->Endpoint, Refused->Attempt};
    else if (const auto *Ended = std::get_if<TaskEnded>(&Dropped->Content))
      Dropped->Content = TaskUncertain{Ended->Task, Ended->Endpoint, Ended->Attempt};
    return send(std::move(*Dropped));
  }
  if (auto *Call = std::get_if<PeerCall>(&Lost)) {
    EndpointIndex Index{Call->Endpoint};
    if (const auto *Start = std::get_if<StartDelegated>(&Call->Content))
      return send(Delivery{Call->From, TaskUncertain{Start->Task, Index, Call->Attempt}});
    if (const auto *Ask = std::get_if<AskDelegated>(&Call->Content))
      return send(
          Delivery{Call->From, TaskReported{Ask->Task, Index, TaskReport::Unknown, Call->Attempt}});
    if (std::holds_alternative<TransferReceived>(Call->Content))
      return send(PeerReply{*Call, TransferReply::Rejected});
  }
  if (auto *Reply = std::get_if<PeerReply>(&Lost))
    if (std::holds_alternative<TransferReceived>(Reply->Call.Content))
      return send(PeerReply{Reply->Call, TransferReply::Rejected});
  // The sender gets no event for a lost seal call or reply; it repeats the call or gives up.
}

void OwnershipSimulation::answerCaller(const PeerCall &Call, const DelegatedReply &Reply) {
  // The caller gave up at the call's deadline, as DelegatedTable requires.
  if (Now_ - Call.SentAt >= DelegatedTable::Retention)
    return dropMessage(Call);
  auto Addressed = [&](auto Content) {
    Content.Endpoint = EndpointIndex{Call.Endpoint};
    Content.Attempt = Call.Attempt;
    send(Delivery{Call.From, std::move(Content)});
  };
  std::visit(Addressed, Reply.Content);
}

void OwnershipSimulation::endTask(std::uint32_t First, std::uint32_t Second) {
  std::vector<std::pair<std::uint32_t, TaskId>> Running;
  for (std::uint32_t Index = 0; Index < Endpoints; ++Index)
    for (const auto &[Task, Record] : Endpoints_[Index].Records)
      if (Record.CurrentState == EndpointRecord::State::Running)
        Running.emplace_back(Index, Task);
  if (Running.empty())
    return;
  auto [Index, Task] = Running[First % Running.size()];
  auto &Record = Endpoints_[Index].Records.at(Task);
  bool Fails = Second % 8 == 0;
  Record.CurrentState = Fails ? EndpointRecord::State::Failed : EndpointRecord::State::Finished;
  send(Delivery{Record.From, TaskEnded{Task,
                                       EndpointIndex{Index},
                                       Fails ? TaskVerdict::Failed : TaskVerdict::Finished,
                                       std::make_shared<const std::string>(Record.Result),
                                       {},
                                       {},
                                       Record.Attempt}});
}

void OwnershipSimulation::advance(core::Duration Span) {
  Now_ += Span;
  for (auto &[Name, Each] : Processes_) {
    if (Each->State == Process::Condition::Paused)
      continue;
    for (std::uint32_t Index = 0; Index < Endpoints; ++Index)
      Each->Boots[Index] = Endpoints_[Index].Boot;
    Each->handle(Tick{});
  }
}

void OwnershipSimulation::submit(std::uint32_t Vm, JobId Job, std::uint32_t Tag) {
  auto *At = serving(Vm);
  if (!At)
    return;
  auto Number = newRequest(At->Name, {Request::Kind::Submit, {}, Job, Tag});
  At->handle(SubmitJob{Number, Job, specFor(Tag, At->now()), At->now() + std::chrono::seconds(1)});
}

void OwnershipSimulation::ask(std::uint32_t Vm, JobId Job, Request::Kind Operation) {
  auto *At = serving(Vm);
  if (!At)
    return;
  auto Number = newRequest(At->Name, {Operation, {}, Job});
  if (Operation == Request::Kind::Cancel)
    At->handle(CancelJob{Number, Job});
  else
    At->handle(AskOutcome{Number, Job, At->now() + std::chrono::seconds(1)});
}

void OwnershipSimulation::abandon(std::uint32_t First) {
  if (Requests_.empty())
    return;
  auto Chosen = std::next(Requests_.begin(), static_cast<std::ptrdiff_t>(First % Requests_.size()));
  auto *At = find(Chosen->first.first);
  bool Reachable = At && At->State == Process::Condition::Running && Chosen->second.Hops == 0;
  if (!Reachable || Chosen->second.CurrentState != Request::State::Open)
    return;
  Chosen->second.CurrentState = Request::State::Abandoned;
  if (Chosen->second.Call)
    dropMessage(*Chosen->second.Call);
  At->handle(RequestAbandoned{Chosen->first.second});
}

void OwnershipSimulation::noticeDeaths() {
  for (std::uint64_t Number = 1; Number <= LastIncarnation_; ++Number) {
    if (Processes_.contains({Number}))
      continue;
    for (auto &[Name, Each] : Processes_)
      if (Each->State == Process::Condition::Running)
        Each->handle(PredecessorEnded{{Number}});
  }
}

void OwnershipSimulation::restartEndpoint(std::uint32_t First, std::uint32_t Second) {
  auto Index = First % Endpoints;
  auto Records = std::exchange(Endpoints_[Index].Records, {});
  ++Endpoints_[Index].Boot;
  // The connections are either reset or stay open without any further message.
  if (Second % 2 == 0)
    return;
  for (const auto &[Task, Record] : Records)
    if (Record.CurrentState == EndpointRecord::State::Running)
      send(Delivery{Record.From, TaskUncertain{Task, EndpointIndex{Index}, Record.Attempt}});
}

void OwnershipSimulation::resolveSeals(const Step &Next) {
  for (auto &[Name, Each] : Processes_) {
    if (!Each->Sealing || Each->State == Process::Condition::Paused)
      continue;
    if (Next.Kind == StepKind::GiveUpSeal)
      Each->handle(TransferUnanswered{});
    else
      Each->perform(*Each->Sealing);
  }
}

} // namespace cornellift::kernel
