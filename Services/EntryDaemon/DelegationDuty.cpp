#include "Services/EntryDaemon/DelegationDuty.h"

#include "Services/EntryDaemon/TaskCoding.h"

#include <algorithm>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration UpdateInterval = std::chrono::milliseconds(20);
/// Longer than any task; a silent connection is found by keep-alive before.
constexpr core::Duration StartTime = std::chrono::minutes(10);
constexpr core::Duration QuestionTime = std::chrono::seconds(1);
/// Slots are borrowed from an idle neighbour within some milliseconds. Tasks that still wait after
/// this time go abroad: the neighbour's slots may be those of endpoints that only this process
/// knows to be lost.
constexpr core::Duration NeighbourPatience = std::chrono::milliseconds(300);

} // namespace

DelegationDuty::DelegationDuty(KernelThread &Kernel, const ConfigurationBoard &Board,
                               MembershipMonitor &Members, peer::PeerClient &Client,
                               const IssuerNames &Names, kernel::Incarnation Own)
    : Kernel_(Kernel), Board_(Board), Members_(Members), Client_(Client), Names_(Names), Own_(Own) {
}

void DelegationDuty::updateConfiguration() {
  auto Current = Board_.current();
  if (!Current || Current == Configuration_)
    return;
  Configuration_ = Current;
  auto OwnCentre = Members_.read([](const auto &View) { return View.own().DataCentre; });
  std::map<kernel::EndpointIndex, Centre> Next;
  for (std::size_t Number = 0; Number < Current->Endpoints.size(); ++Number) {
    const auto &Endpoint = Current->Endpoints[Number];
    if (!Endpoint.Remote || Endpoint.Removed || Endpoint.DataCentre == OwnCentre)
      continue;
    auto Index = kernel::EndpointIndex(static_cast<std::uint32_t>(Number));
    auto &Item = Next[Index];
    if (auto Known = Centres_.find(Index); Known != Centres_.end())
      Item = std::move(Known->second);
    Item.Name = Endpoint.DataCentre;
  }
  Centres_ = std::move(Next);
}

void DelegationDuty::tick(const kernel::Scheduler &Scheduler, core::TimePoint Now) {
  if (Now < NextUpdate_)
    return;
  NextUpdate_ = Now + UpdateInterval;
  updateConfiguration();
  auto Load = Scheduler.load();
  std::uint32_t FreeAbroad = 0;
  for (const auto &[Index, Item] : Centres_)
    FreeAbroad += Scheduler.usage(Index).Free;
  bool IsFull = Load.WaitingTasks > 0 && Load.FreeSlots <= FreeAbroad;
  if (!IsFull)
    FullSince_.reset();
  else if (!FullSince_)
    FullSince_ = Now;
  std::map<kernel::EndpointIndex, std::uint32_t> Idle;
  if (IsFull)
    Members_.read([&](const kernel::Membership &View) {
      if (Now - *FullSince_ > NeighbourPatience || !hasIdleNeighbour(View))
        for (auto &[Index, Item] : Centres_)
          Idle[Index] = idleSlots(View, Item, Scheduler.usage(Index).Used);
      return 0;
    });
  // More slots than waiting tasks would let a delegated task of another data centre go on there.
  auto Left = Load.WaitingTasks;
  for (auto &[Index, Item] : Centres_) {
    auto Granted = std::min(Idle[Index], Left);
    Left -= Granted;
    auto Slots = Granted == 0 ? 0 : Scheduler.usage(Index).Used + Granted;
    if (Slots == Item.Published)
      continue;
    Item.Published = Slots;
    Kernel_.postFromSink(kernel::SlotsChanged{Index, Slots});
  }
}

bool DelegationDuty::hasIdleNeighbour(const kernel::Membership &View) const {
  for (const auto &[Name, Record] : View.table().members()) {
    if (Record.DataCentre != View.own().DataCentre || Name == View.own().EntryVm ||
        Record.Standing != kernel::MemberStanding::Ready)
      continue;
    auto Load = View.loadOf(Record.Process);
    if (Load && Load->WaitingTasks == 0 && Load->FreeSlots > 0)
      return true;
  }
  return false;
}

std::uint32_t DelegationDuty::idleSlots(const kernel::Membership &View, Centre &Item,
                                        std::uint32_t Running) const {
  if (View.isUnreachable(Item.Name))
    return 0;
  const kernel::MemberRecord *Best = nullptr;
  kernel::LoadRecord BestLoad;
  for (const auto &[Name, Record] : View.table().members()) {
    auto Load = View.loadOf(Record.Process);
    if (Record.DataCentre != Item.Name || Record.Standing != kernel::MemberStanding::Ready ||
        !Load || Load->WaitingTasks > 0 || Load->FreeSlots <= BestLoad.FreeSlots)
      continue;
    Best = &Record;
    BestLoad = *Load;
  }
  if (!Best)
    return 0;
  if (Item.Helper.Process != Best->Process || Item.LoadSequence != BestLoad.Sequence) {
    Item.Helper = {Best->Address, Best->Process};
    Item.LoadSequence = BestLoad.Sequence;
    Item.StartedSince = 0;
  }
  // The sequence stays when the load was the same at both reports, so ended tasks do not count.
  auto Taken = std::min(Item.StartedSince, Running);
  return BestLoad.FreeSlots - std::min(BestLoad.FreeSlots, Taken);
}

bool DelegationDuty::perform(const kernel::Action &Next) {
  return std::visit([this](const auto &Action) { return carryOut(Action); }, Next);
}

bool DelegationDuty::carryOut(const kernel::StartTask &Action) {
  auto Found = Centres_.find(Action.Endpoint);
  if (Found == Centres_.end())
    return false;
  kernel::StartRefused Refused{Action.Task, Action.Endpoint, kernel::StartRefusal::NotSent,
                               Action.Attempt};
  // A task of another issuer may be a delegated one, which is never delegated again.
  if (Action.Task.Job.Issuer != Own_ || Found->second.Helper.Address.empty()) {
    Kernel_.postFromSink(Refused);
    return true;
  }
  ++Found->second.StartedSince;
  auto Receiver = Found->second.Helper;
  {
    std::lock_guard Guard(Mutex_);
    Targets_[Action.Task] = Receiver;
  }
  Client_.start<peer::DelegateTaskRequest, peer::TaskReply>(
      Receiver.Address, &peer::Peer::Stub::async::DelegateTask, encodeStart(Action, Receiver),
      MonotonicClock::now() + StartTime,
      [this, Refused](const peer::CallResult<peer::TaskReply> &Result) {
        const auto &[Task, Endpoint, Cause, Attempt] = Refused;
        if (!Result.Content && Result.Failure == peer::CallFailure::NotSent) {
          forget(Task);
          // On the kernel's thread when nothing was sent, so its ring must not be waited for.
          return Kernel_.run(
              [this, Refused](const auto &, auto) { Kernel_.postFromSink(Refused); });
        }
        if (!Result.Content || Result.Content->state() == peer::TaskReply::UNKNOWN)
          return Kernel_.post(kernel::TaskUncertain{Task, Endpoint, Attempt});
        forget(Task);
        Kernel_.post(decodeTaskReply(*Result.Content, Task, Endpoint, Attempt));
      });
  return true;
}

bool DelegationDuty::carryOut(const kernel::AskTask &Action) {
  return question(Action.Task, Action.Endpoint, Action.Attempt,
                  kernel::AskDelegated::Operation::Ask);
}

bool DelegationDuty::carryOut(const kernel::FenceTask &Action) {
  return question(Action.Task, Action.Endpoint, Action.Attempt,
                  kernel::AskDelegated::Operation::Fence);
}

bool DelegationDuty::carryOut(const kernel::ProbeEndpoint &Action) {
  if (!Centres_.contains(Action.Endpoint))
    return false;
  // Heartbeats tell the state; without one there are no slots.
  kernel::EndpointObserved Observed;
  Observed.Endpoint = Action.Endpoint;
  Kernel_.postFromSink(Observed);
  return true;
}

bool DelegationDuty::question(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                              std::uint32_t Attempt, kernel::AskDelegated::Operation Purpose) {
  if (!Centres_.contains(Endpoint))
    return false;
  kernel::TaskReported Unknown{Task, Endpoint, kernel::TaskReport::Unknown, Attempt};
  auto Receiver = targetOf(Task);
  if (!Receiver) {
    Kernel_.postFromSink(Unknown);
    return true;
  }
  peer::AskTaskRequest Request;
  Request.set_incarnation(Task.Job.Issuer.Value);
  Request.set_sequence(Task.Job.Sequence);
  Request.set_index(Task.Index);
  Request.set_attempt(Attempt);
  Request.set_fence(Purpose == kernel::AskDelegated::Operation::Fence);
  Request.set_receiver(Receiver->Process.Value);
  Client_.start<peer::AskTaskRequest, peer::TaskReply>(
      Receiver->Address, &peer::Peer::Stub::async::AskTask, std::move(Request),
      MonotonicClock::now() + QuestionTime,
      [this, Unknown](const peer::CallResult<peer::TaskReply> &Result) {
        kernel::Event Answer = Unknown;
        if (Result.Content)
          Answer =
              decodeTaskReply(*Result.Content, Unknown.Task, Unknown.Endpoint, Unknown.Attempt);
        if (Result.Content && (Result.Content->state() == peer::TaskReply::FINISHED ||
                               Result.Content->state() == peer::TaskReply::FAILED ||
                               Result.Content->state() == peer::TaskReply::NOT_STARTED_AND_FENCED))
          forget(Unknown.Task);
        Kernel_.run([this, Answer](const auto &, auto) { Kernel_.postFromSink(Answer); });
      });
  return true;
}

peer::DelegateTaskRequest DelegationDuty::encodeStart(const kernel::StartTask &Action,
                                                      const Target &Receiver) const {
  const auto &Service = Configuration_->Services[static_cast<std::size_t>(Action.Service)];
  peer::DelegateTaskRequest Request;
  Request.set_issuer_vm(Names_.nameOf(Action.Task.Job.Issuer));
  Request.set_incarnation(Action.Task.Job.Issuer.Value);
  Request.set_sequence(Action.Task.Job.Sequence);
  Request.set_index(Action.Task.Index);
  Request.set_service(Service.Name);
  Request.set_kind(Service.Kinds[static_cast<std::size_t>(Action.Kind)].Name);
  Request.set_team(Configuration_->Teams[static_cast<std::size_t>(Action.Team)].Name);
  *Request.mutable_declaration() = encode(Action.Spec);
  if (Action.Payload && Action.PayloadIndex < Action.Payload->Tasks.size())
    Request.set_payload(Action.Payload->Tasks[Action.PayloadIndex]);
  Request.set_task_count(Action.TaskCount);
  Request.set_fingerprint(Action.Fingerprint);
  Request.set_receiver(Receiver.Process.Value);
  Request.set_attempt(Action.Attempt);
  return Request;
}

std::optional<DelegationDuty::Target> DelegationDuty::targetOf(kernel::TaskId Task) {
  std::lock_guard Guard(Mutex_);
  auto Found = Targets_.find(Task);
  if (Found == Targets_.end())
    return std::nullopt;
  return Found->second;
}

void DelegationDuty::forget(kernel::TaskId Task) {
  std::lock_guard Guard(Mutex_);
  Targets_.erase(Task);
}

} // namespace cornellift::entry
