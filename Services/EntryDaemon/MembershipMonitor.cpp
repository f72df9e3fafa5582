#include "Services/EntryDaemon/MembershipMonitor.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibPeer/MembershipCoding.h"

#include <random>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration TickInterval = std::chrono::milliseconds(40);
constexpr core::Duration AnnounceTimeout = std::chrono::seconds(1);
/// The target for propagating a leaving mark is 3 s; the list itself may be 1 s old.
constexpr core::Duration ListInterval = std::chrono::seconds(1);

} // namespace

MembershipMonitor::MembershipMonitor(peer::PeerClient &Client, std::function<SelfReport()> Report,
                                     platform::PlatformStore *Store)
    : Client_(Client), Report_(std::move(Report)), Store_(Store) {}

void MembershipMonitor::setOwnRecord(kernel::MemberRecord Own, std::vector<std::string> Seeds) {
  Own.StartedAt = core::wallClockMilliseconds();
  std::lock_guard Guard(Mutex_);
  View_ = std::make_unique<kernel::Membership>(std::move(Own), kernel::MembershipSettings{},
                                               std::random_device()());
  View_->setSeeds(std::move(Seeds));
}

bool MembershipMonitor::start() {
  TickThread_ = std::thread([this] { runTicks(); });
  if (Store_ != nullptr)
    ListThread_ = std::thread([this] { pollList(); });
  return true;
}

void MembershipMonitor::stop() {
  {
    std::lock_guard Guard(StopMutex_);
    Stopping_ = true;
  }
  StopSignal_.notify_all();
  for (auto *Thread : {&TickThread_, &ListThread_})
    if (Thread->joinable())
      Thread->join();
}

bool MembershipMonitor::sleepFor(core::Duration Span) {
  std::unique_lock Lock(StopMutex_);
  return !StopSignal_.wait_for(Lock, Span, [this] { return Stopping_; });
}

void MembershipMonitor::runTicks() {
  do {
    auto Report = Report_();
    change([&](kernel::Membership &View, core::TimePoint Now, kernel::MembershipActions &Out) {
      // Never returns to an earlier state: the platform's list may have marked this VM as leaving.
      if (View.own().Standing < Report.Standing)
        View.setStanding(Report.Standing, Now, Out);
      View.setLoad(Report.WaitingTasks, Report.FreeSlots, Report.ConfigurationVersion, Now);
      View.tick(Now, Out);
    });
  } while (sleepFor(TickInterval));
}

void MembershipMonitor::pollList() {
  // Every process reads the list once to find its peers; afterwards only the relay reads it.
  bool HasList = false;
  do {
    if (HasList && !read([](const auto &View) { return View.isRelay(); }))
      continue;
    auto Listed = Store_->listVms(MonotonicClock::now() + ListInterval);
    if (!Listed)
      continue;
    HasList = true;
    applyPlatformList(std::move(*Listed));
  } while (sleepFor(ListInterval));
}

void MembershipMonitor::applyPlatformList(std::vector<platform::VmRecord> Listed) {
  std::vector<kernel::ListedVm> Vms;
  std::vector<std::string> Leaving;
  for (auto &Vm : Listed) {
    bool IsLeaving = Vm.State == platform::VmState::Leaving;
    if (Endpoints_ == nullptr || !Endpoints_->isEndpoint(Vm.Name))
      Vms.push_back(
          {std::move(Vm.Name), std::move(Vm.Address), std::move(Vm.DataCentre),
           IsLeaving ? kernel::ListedVm::Status::Leaving : kernel::ListedVm::Status::Live});
    else if (IsLeaving)
      Leaving.push_back(std::move(Vm.Name));
  }
  change([&](kernel::Membership &View, core::TimePoint Now, kernel::MembershipActions &Out) {
    View.platformListReceived(std::move(Vms), Now, Out);
  });
  if (!Leaving.empty())
    announceLeaving(Leaving);
}

void MembershipMonitor::reportLeavingEndpoint(const std::string &Endpoint) {
  if (Endpoints_ != nullptr)
    Endpoints_->reportLeaving(Endpoint);
}

void MembershipMonitor::announceLeaving(const std::vector<std::string> &Names) {
  peer::AnnounceRequest Request;
  for (const auto &Name : Names) {
    reportLeavingEndpoint(Name);
    Request.add_leaving_endpoints(Name);
  }
  std::vector<std::string> Addresses;
  read([&](const kernel::Membership &View) {
    Request.set_origin(View.own().DataCentre);
    for (const auto &[Name, Record] : View.table().members())
      if (Record.DataCentre == View.own().DataCentre && Name != View.own().EntryVm)
        Addresses.push_back(Record.Address);
    return 0;
  });
  for (const auto &Address : Addresses)
    Client_.start<peer::AnnounceRequest, peer::AnnounceReply>(
        Address, &peer::Peer::Stub::async::Announce, Request,
        MonotonicClock::now() + AnnounceTimeout, [](const auto &) {});
}

void MembershipMonitor::change(const std::function<void(kernel::Membership &, core::TimePoint,
                                                        kernel::MembershipActions &)> &Change) {
  kernel::MembershipActions Actions;
  {
    std::lock_guard Guard(Mutex_);
    Change(*View_, MonotonicClock::now(), Actions);
  }
  perform(Actions);
}

void MembershipMonitor::perform(const kernel::MembershipActions &Actions) {
  for (const auto &Action : Actions)
    std::visit([this](const auto &Next) { send(Next); }, Action);
}

void MembershipMonitor::send(const kernel::SendProbe &Action) {
  peer::ProbeRequest Request;
  *Request.mutable_sender() = peer::encode(Action.Own);
  Client_.start<peer::ProbeRequest, peer::ProbeReply>(
      Action.Address, &peer::Peer::Stub::async::Probe, std::move(Request), Action.Deadline,
      [this, Token = Action.Token](auto Result) {
        std::optional<kernel::Heartbeat> Reply;
        if (Result.Content)
          Reply = peer::decode(Result.Content->receiver());
        finishProbe(Token, Reply);
      });
}

void MembershipMonitor::send(const kernel::SendIndirectProbe &Action) {
  peer::ProbeForRequest Request;
  Request.set_target_address(Action.TargetAddress);
  Request.set_target_incarnation(Action.Target.Value);
  Client_.start<peer::ProbeForRequest, peer::ProbeForReply>(
      Action.HelperAddress, &peer::Peer::Stub::async::ProbeFor, std::move(Request), Action.Deadline,
      [this, Token = Action.Token](auto Result) {
        std::optional<kernel::Heartbeat> Reply;
        if (Result.Content && Result.Content->reached())
          Reply = peer::decode(Result.Content->target());
        finishProbe(Token, Reply);
      });
}

void MembershipMonitor::finishProbe(kernel::ProbeToken Token,
                                    const std::optional<kernel::Heartbeat> &Reply) {
  change([&](kernel::Membership &View, core::TimePoint Now, kernel::MembershipActions &Out) {
    if (Reply)
      View.probeReplied(Token, *Reply, Now, Out);
    else
      View.probeFailed(Token, Now, Out);
  });
  if (Reply)
    notifyIfNewer(Reply->Load.ConfigurationVersion);
}

void MembershipMonitor::send(const kernel::SendAnnouncement &Action) {
  bool IsFull = Action.Content.Scope == kernel::Announcement::Extent::Full;
  Client_.start<peer::AnnounceRequest, peer::AnnounceReply>(
      Action.Address, &peer::Peer::Stub::async::Announce,
      peer::encode(Action.Content, MonotonicClock::now()), MonotonicClock::now() + AnnounceTimeout,
      [this, IsFull](auto Result) {
        if (!Result.Content || !IsFull)
          return;
        announced(peer::decode(*Result.Content, MonotonicClock::now()));
      });
}

kernel::Heartbeat MembershipMonitor::heartbeatReceived(const kernel::Heartbeat &Sender) {
  notifyIfNewer(Sender.Load.ConfigurationVersion);
  std::lock_guard Guard(Mutex_);
  return View_->heartbeatReceived(Sender, MonotonicClock::now());
}

kernel::Announcement MembershipMonitor::announced(const kernel::Announcement &Received) {
  kernel::Announcement Answer;
  change([&](kernel::Membership &View, core::TimePoint Now, kernel::MembershipActions &Out) {
    Answer = View.announced(Received, Now, Out);
  });
  notifyIfNewer(Received.ConfigurationVersion);
  return Answer;
}

void MembershipMonitor::notifyIfNewer(std::uint64_t Version) {
  if (Configuration_ != nullptr && Version > Configuration_->version())
    Configuration_->notifyNewer(Version);
}

} // namespace cornellift::entry
