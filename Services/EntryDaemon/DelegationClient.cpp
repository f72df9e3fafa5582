#include "Services/EntryDaemon/DelegationClient.h"

#include "Services/EntryDaemon/TaskCoding.h"

#include <algorithm>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration UpdateInterval = std::chrono::milliseconds(20);
/// Longer than any task; a silent connection is detected earlier by keep-alive.
constexpr core::Duration StartTimeout = std::chrono::minutes(10);
constexpr core::Duration ControlTimeout = std::chrono::seconds(1);
/// Slots are borrowed from an idle VM of the same data centre within milliseconds. Tasks that still
/// wait after this time are delegated to another data centre: the idle slots may belong to
/// endpoints that only this process knows to be lost.
constexpr core::Duration NeighbourTimeout = std::chrono::milliseconds(300);

} // namespace

DelegationClient::DelegationClient(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                                   MembershipMonitor &Members, peer::PeerClient &Client,
                                   const IssuerNames &Names, kernel::Incarnation Own)
    : Kernel_(Kernel), CurrentConfiguration_(Configuration), Members_(Members), Client_(Client),
      Names_(Names), Own_(Own) {}

void DelegationClient::updateConfiguration() {
  auto Current = CurrentConfiguration_.get();
  if (!Current || Current == Configuration_)
    return;
  Configuration_ = Current;
  auto OwnDataCentre = Members_.read([](const auto &View) { return View.own().DataCentre; });
  std::map<kernel::EndpointIndex, RemoteDataCentre> Next;
  for (std::size_t Number = 0; Number < Current->Endpoints.size(); ++Number) {
    const auto &Endpoint = Current->Endpoints[Number];
    if (!Endpoint.Remote || Endpoint.Removed || Endpoint.DataCentre == OwnDataCentre)
      continue;
    auto Index = kernel::EndpointIndex(static_cast<std::uint32_t>(Number));
    auto &Item = Next[Index];
    if (auto Known = RemoteDataCentres_.find(Index); Known != RemoteDataCentres_.end())
      Item = std::move(Known->second);
    Item.Name = Endpoint.DataCentre;
  }
  RemoteDataCentres_ = std::move(Next);
}

void DelegationClient::tick(const kernel::Scheduler &Scheduler, core::TimePoint Now) {
  if (Now < NextUpdate_)
    return;
  NextUpdate_ = Now + UpdateInterval;
  updateConfiguration();
  auto Load = Scheduler.load();
  std::uint32_t FreeRemoteSlots = 0;
  for (const auto &[Index, Item] : RemoteDataCentres_)
    FreeRemoteSlots += Scheduler.usage(Index).Free;
  bool IsSaturated = Load.WaitingTasks > 0 && Load.FreeSlots <= FreeRemoteSlots;
  if (!IsSaturated)
    SaturatedSince_.reset();
  else if (!SaturatedSince_)
    SaturatedSince_ = Now;
  std::map<kernel::EndpointIndex, std::uint32_t> Idle;
  if (IsSaturated)
    Members_.read([&](const kernel::Membership &View) {
      if (Now - *SaturatedSince_ > NeighbourTimeout || !hasIdleNeighbour(View))
        for (auto &[Index, Item] : RemoteDataCentres_)
          Idle[Index] = idleSlots(View, Item, Scheduler.usage(Index).Used);
      return 0;
    });
  // With more slots than waiting tasks, the scheduler could place a task there that another data
  // centre has delegated to this process.
  auto UngrantedTasks = Load.WaitingTasks;
  for (auto &[Index, Item] : RemoteDataCentres_) {
    auto Granted = std::min(Idle[Index], UngrantedTasks);
    UngrantedTasks -= Granted;
    auto Slots = Granted == 0 ? 0 : Scheduler.usage(Index).Used + Granted;
    if (Slots == Item.Published)
      continue;
    Item.Published = Slots;
    Kernel_.postFromSink(kernel::SlotsChanged{Index, Slots});
  }
}

bool DelegationClient::hasIdleNeighbour(const kernel::Membership &View) const {
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

std::uint32_t DelegationClient::idleSlots(const kernel::Membership &View, RemoteDataCentre &Item,
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
  if (Item.Receiver.Process != Best->Process || Item.LoadSequence != BestLoad.Sequence) {
    Item.Receiver = {Best->Address, Best->Process};
    Item.LoadSequence = BestLoad.Sequence;
    Item.StartedSince = 0;
  }
  // Equal consecutive loads keep their sequence number, so StartedSince may include tasks that have
  // ended; the running tasks bound it.
  auto Taken = std::min(Item.StartedSince, Running);
  return BestLoad.FreeSlots - std::min(BestLoad.FreeSlots, Taken);
}

bool DelegationClient::perform(const kernel::Action &Next) {
  return std::visit([this](const auto &Action) { return carryOut(Action); }, Next);
}

bool DelegationClient::carryOut(const kernel::StartTask &Action) {
  auto Found = RemoteDataCentres_.find(Action.Endpoint);
  if (Found == RemoteDataCentres_.end())
    return false;
  kernel::StartRefused Refused{Action.Task, Action.Endpoint, kernel::StartRefusal::NotSent,
                               Action.Attempt};
  // A task of another issuer may have been delegated to this process; it is never delegated again.
  if (Action.Task.Job.Issuer != Own_ || Found->second.Receiver.Address.empty()) {
    Kernel_.postFromSink(Refused);
    return true;
  }
  ++Found->second.StartedSince;
  auto Receiver = Found->second.Receiver;
  {
    std::lock_guard Guard(Mutex_);
    Targets_[Action.Task] = Receiver;
  }
  Client_.start<peer::DelegateTaskRequest, peer::TaskReply>(
      Receiver.Address, &peer::Peer::Stub::async::DelegateTask, encodeStart(Action, Receiver),
      MonotonicClock::now() + StartTimeout,
      [this, Refused](const peer::CallResult<peer::TaskReply> &Result) {
        const auto &[Task, Endpoint, Cause, Attempt] = Refused;
        if (!Result.Content && Result.Failure == peer::CallFailure::NotSent) {
          removeTarget(Task);
          // This callback runs on the kernel's thread when nothing was sent, so it must not wait
          // for space in the kernel's ring.
          return Kernel_.run(
              [this, Refused](const auto &, auto) { Kernel_.postFromSink(Refused); });
        }
        if (!Result.Content || Result.Content->state() == peer::TaskReply::UNKNOWN)
          return Kernel_.post(kernel::TaskUncertain{Task, Endpoint, Attempt});
        removeTarget(Task);
        Kernel_.post(decodeTaskReply(*Result.Content, Task, Endpoint, Attempt));
      });
  return true;
}

bool DelegationClient::carryOut(const kernel::AskTask &Action) {
  return sendControlRequest(Action.Task, Action.Endpoint, Action.Attempt,
                            kernel::AskDelegated::Operation::Ask);
}

bool DelegationClient::carryOut(const kernel::FenceTask &Action) {
  return sendControlRequest(Action.Task, Action.Endpoint, Action.Attempt,
                            kernel::AskDelegated::Operation::Fence);
}

bool DelegationClient::carryOut(const kernel::ProbeEndpoint &Action) {
  if (!RemoteDataCentres_.contains(Action.Endpoint))
    return false;
  // Heartbeats carry the state; without them the data centre offers no slots.
  kernel::EndpointObserved Observed;
  Observed.Endpoint = Action.Endpoint;
  Kernel_.postFromSink(Observed);
  return true;
}

bool DelegationClient::sendControlRequest(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                                          std::uint32_t Attempt,
                                          kernel::AskDelegated::Operation Purpose) {
  if (!RemoteDataCentres_.contains(Endpoint))
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
      MonotonicClock::now() + ControlTimeout,
      [this, Unknown](const peer::CallResult<peer::TaskReply> &Result) {
        kernel::Event Answer = Unknown;
        if (Result.Content)
          Answer =
              decodeTaskReply(*Result.Content, Unknown.Task, Unknown.Endpoint, Unknown.Attempt);
        if (Result.Content && (Result.Content->state() == peer::TaskReply::FINISHED ||
                               Result.Content->state() == peer::TaskReply::FAILED ||
                               Result.Content->state() == peer::TaskReply::NOT_STARTED_AND_FENCED))
          removeTarget(Unknown.Task);
        Kernel_.run([this, Answer](const auto &, auto) { Kernel_.postFromSink(Answer); });
      });
  return true;
}

peer::DelegateTaskRequest DelegationClient::encodeStart(const kernel::StartTask &Action,
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

std::optional<DelegationClient::Target> DelegationClient::targetOf(kernel::TaskId Task) {
  std::lock_guard Guard(Mutex_);
  auto Found = Targets_.find(Task);
  if (Found == Targets_.end())
    return std::nullopt;
  return Found->second;
}

void DelegationClient::removeTarget(kernel::TaskId Task) {
  std::lock_guard Guard(Mutex_);
  Targets_.erase(Task);
}

} // namespace cornellift::entry
