#include "Kernel/Pool/HubChoice.h"
#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibMesh/MeshCoding.h"
#include "Services/PoolDaemon/PoolDaemon.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace cornellift::pool {
namespace {

/// Up to this many other VMs the mesh is a full mesh, in which a VM sends frequent heartbeats to
/// all VMs of its data centre, and a manager to all VMs. In larger fleets that alone would use a
/// large part of the processor: links lead only to hubs and managers, and only managers and the VMs
/// that submit jobs to them exchange frequent heartbeats.
constexpr std::size_t MaximumFullMeshPeers = 48;
/// Number of VMs in the gossip to a new peer. Each VM gets gossip from all its peers, so that a
/// sample is enough.
constexpr std::size_t MaximumGossipedPeers = 32;
/// Interval between selections of the hubs; the replacement of a lost hub takes a second or more.
constexpr core::Duration LinkPlanInterval = std::chrono::milliseconds(200);
/// Interval between checks for removed VMs, which stay known for some minutes.
constexpr core::Duration ForgetInterval = std::chrono::minutes(1);

} // namespace

mesh::Heartbeat PoolDaemon::makeHeartbeat() {
  mesh::Heartbeat Message;
  Message.set_ready(isReadyToManage());
  Message.set_stopping(Stop_.has_value());
  for (const auto &Name : Election_.managed())
    Message.add_managed(Name);
  for (const auto &Name : Election_.releasing())
    Message.add_released(Name);
  for (const auto &Name : Election_.seen())
    Message.add_seen(Name);
  Message.set_takes_part(!Election_.managed().empty() || !Election_.releasing().empty() ||
                         Manager_.jobCount() > 0);
  Message.set_configuration_version(Configuration_.version());
  Message.set_highest_token(Tokens_.highest());
  Message.set_evacuation_revision(Evacuations_.state().Revision);
  for (const auto &Name : Evacuations_.state().DataCentres)
    Message.add_evacuated(Name);
  return Message;
}

bool PoolDaemon::sharesWorkWith(const mesh::MeshPeer &Peer) {
  bool IsNear = Peer.dataCentre() == Settings_.DataCentre;
  bool IsManager = !Election_.managed().empty();
  // In a full mesh any VM may take over any workers soon after the loss of their manager.
  if (Mesh_.size() <= MaximumFullMeshPeers)
    return IsNear || IsManager || AssignedManager_ == Peer.Index;
  return AssignedManager_ == Peer.Index ||
         (IsManager && (IsNear || Election_.isManager(Peer.Index)));
}

void PoolDaemon::forgetRemovedVms(core::TimePoint Now) {
  if (Now < LastForgetAt_ + ForgetInterval)
    return;
  LastForgetAt_ = Now;
  Registration_->reportAllPeers();
  Mesh_.removeExpiredPeers(Now);
}

void PoolDaemon::planLinks(core::TimePoint Now) {
  if (Now < LinksPlannedAt_ + LinkPlanInterval)
    return;
  LinksPlannedAt_ = Now;
  Hubs_.clear();
  std::set<std::string> ReservedForOthers;
  bool IsFullMesh = Mesh_.size() <= MaximumFullMeshPeers;
  if (!IsFullMesh) {
    std::vector<kernel::HubCandidate> Candidates;
    for (const auto *Peer : Mesh_.knownPeers())
      if (!Peer->dataCentre().empty())
        Candidates.push_back(
            {Peer->vm(), Peer->dataCentre(), Peer->weight(), Peer->isFailing(Now), Peer->isUp()});
    kernel::HubCandidate Self{Settings_.VmName, Settings_.DataCentre, Settings_.Weight};
    ReservedForOthers = kernel::dataCentresOfBetterCandidates(Candidates, Self);
    Candidates.push_back(std::move(Self));
    Hubs_ = kernel::chooseHubs(Candidates);
  }
  bool IsManaging =
      !Election_.managed().empty() || !Election_.releasing().empty() || Manager_.jobCount() > 0;
  NeedsAllLinks_ = IsFullMesh || IsManaging || Hubs_.contains(Settings_.VmName);
  Election_.setReservedForOthers(std::move(ReservedForOthers));
  Mesh_.updateNeededLinks();
}

bool PoolDaemon::isNeeded(const mesh::MeshPeer &Peer) {
  // If only the address of a VM is known, a link is needed to learn its data centre.
  return NeedsAllLinks_ || Peer.dataCentre().empty() || Hubs_.contains(Peer.vm()) ||
         (Peer.isUp() && AssignedManager_ == Peer.Index);
}

void PoolDaemon::peerUp(const mesh::MeshPeer &Peer) {
  core::logLine(core::LogLevel::Information, "mesh", "peer reached",
                {{"vm", Peer.vm()},
                 {"address", Peer.address()},
                 {"index", std::to_string(static_cast<std::uint32_t>(Peer.Index))}});
  auto Now = core::MonotonicClock::now();
  Manager_.peerHeard(Peer.Index, Peer.lastHeard());
  // First, so that the peer starts nothing for jobs that were cancelled while it was out of reach.
  auto Cancelled = Manager_.recentlyCancelled(Now);
  if (!Cancelled.Jobs.empty())
    send(Peer.Index, std::move(Cancelled));
  std::vector<const mesh::MeshPeer *> Gossiped;
  auto Known = Mesh_.knownPeers();
  std::erase_if(Known, [&](const auto *Other) { return !Other->isConfirmed(Now); });
  std::sample(Known.begin(), Known.end(), std::back_inserter(Gossiped), MaximumGossipedPeers,
              Random_);
  mesh::Frame Message;
  for (const auto *Other : Gossiped) {
    Message.mutable_peers()->add_vms(Other->vm());
    Message.mutable_peers()->add_addresses(Other->address());
    Message.mutable_peers()->add_data_centres(Other->dataCentre());
    Message.mutable_peers()->add_weights(Other->weight());
  }
  Mesh_.send(Peer.Index, Message);
}

void PoolDaemon::peerDown(const mesh::MeshPeer &Peer, mesh::PeerLossReason Reason) {
  auto Now = core::MonotonicClock::now();
  bool IsUnneeded = Reason == mesh::PeerLossReason::Unneeded;
  core::logLine(IsUnneeded ? core::LogLevel::Information : core::LogLevel::Warning, "mesh",
                IsUnneeded ? "link to a peer closed" : "peer lost",
                {{"vm", Peer.vm()},
                 {"ended", Reason == mesh::PeerLossReason::Ended ? "true" : "false"},
                 {"silent_ms", std::to_string(core::toMilliseconds(Now - Peer.lastHeard()))}});
  ConfigurationFetch_.peerLost(Peer.Index);
  DocumentsBeingSent_.erase(Peer.Index);
  Claims_.forgetReleases(Peer.Index);
  Election_.peerLost(Peer.Index, Reason == mesh::PeerLossReason::Ended, Now);
  Manager_.peerLost(Peer.Index, Peer.lastHeard(), Now);
  Ingress_.peerLost(Peer.Index, Now);
  for (auto Entry = Successors_.begin(); Entry != Successors_.end();)
    Entry = Entry->second == Peer.Index ? Successors_.erase(Entry) : std::next(Entry);
  applyElection(Now);
}

void PoolDaemon::heartbeatReceived(const mesh::MeshPeer &Peer, const mesh::Heartbeat &Message) {
  auto Now = core::MonotonicClock::now();
  Manager_.peerHeard(Peer.Index, Peer.lastHeard());
  kernel::CandidateState State;
  State.Vm = Peer.vm();
  State.DataCentre = Peer.dataCentre();
  State.Weight = Peer.weight();
  State.IsReady = Message.ready();
  State.IsStopping = Message.stopping();
  State.Managed.insert(Message.managed().begin(), Message.managed().end());
  State.Releasing.insert(Message.released().begin(), Message.released().end());
  State.Seen.insert(Message.seen().begin(), Message.seen().end());
  bool HasChanged = Election_.peerChanged(Peer.Index, std::move(State), Now);
  Tokens_.observe(Message.highest_token());
  // Before a change of the election, which may make this process start tasks.
  kernel::EvacuationState Told{Message.evacuation_revision(), {}};
  Told.DataCentres.insert(Message.evacuated().begin(), Message.evacuated().end());
  learnEvacuations(Told, Peer.vm(), Now);
  Manager_.setManager(Peer.Index, Message.takes_part(), Now);
  if (Peer.roundTrip())
    Manager_.setRoundTrip(Peer.Index, *Peer.roundTrip());
  ConfigurationFetch_.peerReported(Peer.Index, Message.configuration_version(), Now);
  if (HasChanged)
    applyElection(Now);
  if (Message.released().empty())
    Claims_.forgetReleases(Peer.Index);
}

void PoolDaemon::messageReceived(const mesh::MeshPeer &Peer, const mesh::Frame &Message) {
  if (Message.has_peers()) {
    const auto &Gossiped = Message.peers();
    auto Count = std::min(Gossiped.vms_size(), Gossiped.addresses_size());
    bool AreDescribed = Gossiped.data_centres_size() >= Count && Gossiped.weights_size() >= Count;
    for (int Position = 0; Position < Count; ++Position)
      Mesh_.addOrUpdatePeer({Gossiped.vms(Position), Gossiped.addresses(Position),
                             AreDescribed ? Gossiped.data_centres(Position) : std::string(),
                             AreDescribed ? Gossiped.weights(Position) : 1},
                            mesh::PeerSource::Gossiped, core::MonotonicClock::now());
    return;
  }
  if (Message.has_fetch_configuration())
    return sendConfiguration(Peer, Message.fetch_configuration());
  if (Message.has_configuration())
    return configurationReceived(Peer, Message.configuration());
  if (Message.has_backlog()) {
    std::vector<kernel::RouteBacklog> Backlog;
    auto Count = std::min(Message.backlog().routes_size(), Message.backlog().jobs_size());
    Backlog.reserve(static_cast<std::size_t>(Count));
    for (int Position = 0; Position < Count; ++Position)
      Backlog.push_back({Message.backlog().routes(Position), Message.backlog().jobs(Position)});
    return Ingress_.setBacklog(Peer.Index, Backlog);
  }
  auto Content = mesh::decode(Message, core::MonotonicClock::now());
  if (!Content)
    return Log_.line(kernel::DecisionPriority::StateChange, "message of a peer left out",
                     std::nullopt,
                     {{"vm", std::string_view(Peer.vm())},
                      {"content_field", static_cast<std::int64_t>(Message.content_case())},
                      {"reason", std::string_view(core::lastReason().Message)}});
  deliver(Peer.Index, *Content);
}

} // namespace cornellift::pool
