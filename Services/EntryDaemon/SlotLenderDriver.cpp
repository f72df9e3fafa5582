#include "Services/EntryDaemon/SlotLenderDriver.h"

#include "Libraries/LibCore/Reason.h"

#include <future>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration CallTimeout = std::chrono::milliseconds(300);
constexpr core::Duration PeerUpdateInterval = std::chrono::milliseconds(50);

kernel::SlotDemand demandOf(const kernel::Scheduler &Scheduler) {
  auto Load = Scheduler.load();
  return {Load.WaitingTasks, Load.FreeSlots,
          [&Scheduler](kernel::EndpointIndex Endpoint) { return Scheduler.usage(Endpoint); },
          Scheduler.teamDemands(), Scheduler.waitingServices()};
}

} // namespace

SlotLenderDriver::SlotLenderDriver(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                                   MembershipMonitor &Members, peer::PeerClient &Client,
                                   PeerMode Mode)
    : Kernel_(Kernel), CurrentConfiguration_(Configuration), Members_(Members), Client_(Client),
      Mode_(Mode) {}

void SlotLenderDriver::createLender() {
  auto Own = Members_.read([](const auto &View) { return View.own(); });
  DataCentre_ = Own.DataCentre;
  kernel::SlotLenderSettings Settings;
  // Without peers, nobody else can own slots.
  if (Mode_ == PeerMode::Standalone)
    Settings.InitialDelay = core::Duration(0);
  Lender_ = std::make_unique<kernel::SlotLender>(Own.EntryVm, Own.Process, Settings);
}

void SlotLenderDriver::tick(const kernel::Scheduler &Scheduler, core::TimePoint Now) {
  kernel::SlotActions Out;
  updateEndpoints(Now, Out);
  updatePeers(Now, Out);
  Lender_->tick(demandOf(Scheduler), Now, Out);
  perform(Out);
}

void SlotLenderDriver::updateEndpoints(core::TimePoint Now, kernel::SlotActions &Out) {
  auto Current = CurrentConfiguration_.get();
  if (!Current || Current == Configuration_)
    return;
  Configuration_ = Current;
  EndpointIndexes_.clear();
  std::vector<kernel::LenderEndpoint> Local;
  for (std::size_t Number = 0; Number < Current->Endpoints.size(); ++Number) {
    const auto &Endpoint = Current->Endpoints[Number];
    if (Endpoint.DataCentre != DataCentre_ || Endpoint.Removed || Endpoint.Remote)
      continue;
    auto Index = kernel::EndpointIndex(static_cast<std::uint32_t>(Number));
    EndpointIndexes_[Endpoint.Name] = Index;
    Local.push_back({Index, Endpoint.Name, Endpoint.Slots, Endpoint.Services});
  }
  Lender_->setShares(rankTeams());
  Lender_->setEndpoints(std::move(Local), Now, Out);
}

std::vector<double> SlotLenderDriver::rankTeams() {
  std::vector<double> Shares;
  std::map<std::string_view, kernel::TeamIndex> Configured;
  for (const auto &Team : Configuration_->Teams) {
    if (!Team.Removed)
      Configured[Team.Name] = kernel::TeamIndex(static_cast<std::uint32_t>(Shares.size()));
    Shares.push_back(Team.QuotaShare);
  }
  TeamsByRank_.clear();
  Ranks_.assign(Shares.size(), std::nullopt);
  for (const auto &[Name, Team] : Configured) {
    Ranks_[static_cast<std::size_t>(Team)] = static_cast<std::uint32_t>(TeamsByRank_.size());
    TeamsByRank_.push_back(Team);
  }
  return Shares;
}

peer::VmDemand SlotLenderDriver::encode(const kernel::VmDemand &Demand) const {
  peer::VmDemand Result;
  Result.set_configuration_version(Configuration_->Version);
  Result.set_held(Demand.Held);
  for (const auto &Item : Demand.Teams) {
    auto Position = static_cast<std::size_t>(Item.Team);
    if (Position >= Ranks_.size() || !Ranks_[Position])
      continue;
    Result.add_teams(*Ranks_[Position]);
    Result.add_teams(Item.Tasks);
  }
  return Result;
}

template <typename Message>
std::optional<kernel::VmDemand> SlotLenderDriver::decodeDemand(const Message &From) const {
  if (!From.has_demand() || !Configuration_ ||
      From.demand().configuration_version() != Configuration_->Version)
    return std::nullopt;
  kernel::VmDemand Result{From.demand().held(), {}};
  const auto &Teams = From.demand().teams();
  for (int Position = 0; Position + 1 < Teams.size(); Position += 2)
    if (Teams[Position] < TeamsByRank_.size())
      Result.Teams.push_back({TeamsByRank_[Teams[Position]], Teams[Position + 1]});
  return Result;
}

std::vector<kernel::ServiceIndex>
SlotLenderDriver::decodeServices(const peer::BorrowSlotsRequest &Request) const {
  std::vector<kernel::ServiceIndex> Result;
  if (!Configuration_)
    return Result;
  for (const auto &Name : Request.services())
    if (auto Service = findService(*Configuration_, Name))
      Result.push_back(*Service);
  return Result;
}

void SlotLenderDriver::updatePeers(core::TimePoint Now, kernel::SlotActions &Out) {
  if (Now < NextPeerUpdate_)
    return;
  NextPeerUpdate_ = Now + PeerUpdateInterval;
  using kernel::MemberStanding;
  std::vector<kernel::LenderPeer> Peers;
  Members_.read([&](const kernel::Membership &View) {
    for (const auto &[Name, Record] : View.table().members()) {
      if (Record.DataCentre != DataCentre_ ||
          (Record.Standing != MemberStanding::Ready && Record.Standing != MemberStanding::Stopping))
        continue;
      auto Load = View.loadOf(Record.Process).value_or(kernel::LoadRecord{});
      auto Role = Record.Standing == MemberStanding::Ready ? kernel::LenderPeer::Role::Owner
                                                           : kernel::LenderPeer::Role::Stopping;
      Peers.push_back({Name, Record.Process, Load.WaitingTasks, Load.FreeSlots, Role});
    }
    return 0;
  });
  Lender_->setPeers(std::move(Peers), Now, Out);
}

void SlotLenderDriver::perform(const kernel::SlotActions &Actions) {
  for (const auto &Action : Actions) {
    if (const auto *Set = std::get_if<kernel::SetSlots>(&Action))
      Kernel_.postFromSink(kernel::SlotsChanged{Set->Endpoint, Set->Slots});
    else if (const auto *Borrow = std::get_if<kernel::SendBorrow>(&Action))
      sendBorrow(*Borrow);
    else if (const auto *Recall = std::get_if<kernel::SendRecall>(&Action))
      sendRecall(*Recall);
    else if (const auto *Targets = std::get_if<kernel::SetTeamTargets>(&Action))
      Kernel_.postFromSink(kernel::TeamTargetsChanged{Targets->Targets});
  }
}

std::string SlotLenderDriver::addressOf(kernel::Incarnation Process) const {
  return Members_.read([&](const kernel::Membership &View) {
    const auto *Record = View.table().find(Process);
    return Record ? Record->Address : std::string();
  });
}

std::string SlotLenderDriver::nameOf(kernel::EndpointIndex Endpoint) const {
  return Configuration_->Endpoints[static_cast<std::size_t>(Endpoint)].Name;
}

template <typename Message>
std::vector<kernel::SlotGrant> SlotLenderDriver::decodeGrants(const Message &Grants) const {
  std::vector<kernel::SlotGrant> Result;
  for (const auto &Grant : Grants)
    // A peer may have a newer configuration with endpoints that are unknown here.
    if (auto Index = EndpointIndexes_.find(Grant.endpoint()); Index != EndpointIndexes_.end())
      Result.push_back({Index->second, Grant.slots()});
  return Result;
}

void SlotLenderDriver::sendBorrow(const kernel::SendBorrow &Action) {
  peer::BorrowSlotsRequest Request;
  Request.set_borrower(Action.Request.Borrower.Value);
  Request.set_sequence(Action.Request.Sequence);
  Request.set_wanted(Action.Request.Wanted);
  for (const auto &Kept : Action.Request.Kept) {
    auto *Grant = Request.add_kept();
    Grant->set_endpoint(nameOf(Kept.Endpoint));
    Grant->set_slots(Kept.Slots);
  }
  for (auto Service : Action.Request.Services)
    Request.add_services(Configuration_->Services[static_cast<std::size_t>(Service)].Name);
  if (Action.Request.Demand)
    *Request.mutable_demand() = encode(*Action.Request.Demand);
  auto Owner = Action.Process;
  auto Sequence = Action.Request.Sequence;
  Client_.start<peer::BorrowSlotsRequest, peer::BorrowSlotsReply>(
      addressOf(Owner), &peer::Peer::Stub::async::BorrowSlots, std::move(Request),
      MonotonicClock::now() + CallTimeout, [this, Owner, Sequence](auto Result) {
        Kernel_.run([this, Owner, Sequence, Result = std::move(Result)](const auto &, auto Now) {
          kernel::SlotActions Out;
          if (Result.Content)
            Lender_->borrowReplied(Owner, Sequence,
                                   {.Grants = decodeGrants(Result.Content->grants()),
                                    .Lease = std::chrono::milliseconds(Result.Content->lease_ms()),
                                    .ReservedSlots = Result.Content->coming(),
                                    .Demand = decodeDemand(*Result.Content)},
                                   Now, Out);
          else
            Lender_->borrowFailed(Owner, Sequence, Now);
          perform(Out);
        });
      });
}

void SlotLenderDriver::sendRecall(const kernel::SendRecall &Action) {
  peer::ReturnSlotsRequest Request;
  Request.set_owner(Members_.read([](const auto &View) { return View.own().Process.Value; }));
  for (const auto &Wanted : Action.Wanted) {
    auto *Grant = Request.add_wanted();
    Grant->set_endpoint(nameOf(Wanted.Endpoint));
    Grant->set_slots(Wanted.Slots);
  }
  Client_.start<peer::ReturnSlotsRequest, peer::ReturnSlotsReply>(
      addressOf(Action.Process), &peer::Peer::Stub::async::ReturnSlots, std::move(Request),
      MonotonicClock::now() + CallTimeout, [](const auto &) {});
}

std::optional<peer::BorrowSlotsReply>
SlotLenderDriver::lend(const peer::BorrowSlotsRequest &Request) {
  struct Answer {
    std::optional<kernel::BorrowReply> Reply{};
    core::Reason Failure{};
    std::vector<std::string> Names{};
    std::optional<peer::VmDemand> Demand{};
  };
  auto Promise = std::make_shared<std::promise<Answer>>();
  auto Future = Promise->get_future();
  Kernel_.run([this, Request, Promise](const auto &Scheduler, auto Now) {
    kernel::SlotActions Out;
    Answer Result;
    Result.Reply = Lender_->lend({{Request.borrower()},
                                  Request.sequence(),
                                  decodeGrants(Request.kept()),
                                  Request.wanted(),
                                  decodeServices(Request),
                                  decodeDemand(Request)},
                                 demandOf(Scheduler), Now, Out);
    perform(Out);
    if (!Result.Reply)
      Result.Failure = core::lastReason();
    else
      for (const auto &Grant : Result.Reply->Grants)
        Result.Names.push_back(nameOf(Grant.Endpoint));
    if (Result.Reply && Result.Reply->Demand)
      Result.Demand = encode(*Result.Reply->Demand);
    Promise->set_value(std::move(Result));
  });
  if (Future.wait_for(CallTimeout) != std::future_status::ready)
    return core::fail(core::ErrorKind::Unavailable, "the kernel is busy; retry the call");
  auto Result = Future.get();
  if (!Result.Reply)
    return core::fail(Result.Failure.Kind, Result.Failure.Message);
  peer::BorrowSlotsReply Reply;
  for (std::size_t Number = 0; Number < Result.Names.size(); ++Number) {
    auto *Grant = Reply.add_grants();
    Grant->set_endpoint(Result.Names[Number]);
    Grant->set_slots(Result.Reply->Grants[Number].Slots);
  }
  Reply.set_coming(Result.Reply->ReservedSlots);
  if (Result.Demand)
    *Reply.mutable_demand() = std::move(*Result.Demand);
  Reply.set_lease_ms(static_cast<std::uint32_t>(core::toMilliseconds(Result.Reply->Lease)));
  return Reply;
}

void SlotLenderDriver::recalled(const peer::ReturnSlotsRequest &Request) {
  Kernel_.run([this, Request](const auto &, auto Now) {
    kernel::SlotActions Out;
    Lender_->recalled({Request.owner()}, decodeGrants(Request.wanted()), Now, Out);
    perform(Out);
  });
}

} // namespace cornellift::entry
