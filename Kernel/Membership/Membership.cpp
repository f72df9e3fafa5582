#include "Kernel/Membership/Membership.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Number of helpers that probe a suspected target. More than one, because a helper may have failed
/// together with the target.
constexpr std::size_t IndirectProbeCount = 2;
constexpr core::Duration ExpiryInterval = std::chrono::minutes(1);

} // namespace

Membership::Membership(MemberRecord Own, MembershipSettings Settings, std::uint64_t Seed)
    : Own_(std::move(Own)), Settings_(Settings), Random_(Seed) {
  OwnLoad_.Process = Own_.Process;
  Own_.Revision = std::max(Own_.Revision, 1U);
}

void Membership::tick(core::TimePoint Now, MembershipActions &Out) {
  auto Gap = LastTick_ ? Now - *LastTick_ : core::Duration::zero();
  if (!LastTick_)
    publishOwn(Now, Out);
  LastTick_ = Now;
  if (Gap > Settings_.PauseThreshold)
    resumeAfterPause(Gap, Now);
  if (Now >= NextExpiryAt_) {
    Table_.dropExpired(Now);
    std::erase_if(Loads_, [&](auto &Item) { return !Table_.find(Item.second.Load.Process); });
    NextExpiryAt_ = Now + ExpiryInterval;
  }
  updateMonitors(Now);
  for (auto &[Name, Item] : Monitors_)
    runMonitor(Item, Now, Out);
  runGateways(Now, Out);
  contact(Now, Out);
}

void Membership::resumeAfterPause(core::Duration Gap, core::TimePoint Now) {
  for (auto &[Name, Item] : Monitors_)
    Item = {.Target = Item.Target, .NextAt = Now};
  for (auto &[Name, Item] : Gateways_) {
    Item.Token.reset();
    Item.NextAt = Now;
    // Only the pause is excluded. If the time were counted from now, a process on a busy machine
    // with a gap every few seconds would never detect that a data centre is unreachable.
    Item.LastReplyAt += Gap;
  }
}

void Membership::updateMonitors(core::TimePoint Now) {
  if (MonitoredVersion_ == Table_.version())
    return;
  MonitoredVersion_ = Table_.version();
  auto Peers = localPeers();
  auto First = std::find_if(Peers.begin(), Peers.end(),
                            [&](const auto *Peer) { return Peer->EntryVm > Own_.EntryVm; });
  std::rotate(Peers.begin(), First, Peers.end());
  Peers.resize(std::min(Peers.size(), Settings_.Successors));
  std::map<std::string, PeerMonitor> Kept;
  for (const auto *Peer : Peers) {
    auto Found = Monitors_.find(Peer->EntryVm);
    bool Same = Found != Monitors_.end() && Found->second.Target.Process == Peer->Process;
    auto &Item = Kept[Peer->EntryVm];
    Item = Same ? std::move(Found->second) : PeerMonitor{.NextAt = Now};
    Item.Target = *Peer;
  }
  Monitors_ = std::move(Kept);
}

void Membership::runMonitor(PeerMonitor &Item, core::TimePoint Now, MembershipActions &Out) {
  switch (Item.State) {
  case PeerMonitor::Phase::Idle:
    if (Now < Item.NextAt)
      return;
    Item.State = PeerMonitor::Phase::Probing;
    Item.Deadline = Now + Settings_.ProbeTimeout;
    Item.NextAt = Now + Settings_.ProbeInterval;
    probe(Item, Item.Deadline, Now, Out);
    return;
  case PeerMonitor::Phase::Probing:
    if (Now >= Item.Deadline)
      suspect(Item, Now, Out);
    return;
  case PeerMonitor::Phase::Suspected:
    if (Now >= Item.Deadline)
      return declareDead(Item.Target, Now, Out);
    if (Item.RetryAt && Now >= *Item.RetryAt) {
      Item.RetryAt = Now + Settings_.RetryInterval;
      probe(Item, Item.Deadline, Now, Out);
    }
    return;
  }
}

void Membership::probe(PeerMonitor &Item, core::TimePoint Deadline, core::TimePoint Now,
                       MembershipActions &Out) {
  auto Token = newToken();
  Item.Tokens.insert(Token);
  Out.emplace_back(SendProbe{Token, Item.Target.Address, Deadline, heartbeat(Now)});
}

void Membership::suspect(PeerMonitor &Item, core::TimePoint Now, MembershipActions &Out) {
  Item.State = PeerMonitor::Phase::Suspected;
  Item.Deadline = Now + Settings_.SuspicionTime;
  Item.RetryAt = Now + Settings_.RetryInterval;
  probe(Item, Item.Deadline, Now, Out);
  requestIndirectProbes(Item, Out);
}

void Membership::requestIndirectProbes(PeerMonitor &Item, MembershipActions &Out) {
  std::vector<const MemberRecord *> Choices;
  for (const auto *Peer : localPeers()) {
    auto Monitored = Monitors_.find(Peer->EntryVm);
    bool Suspected =
        Monitored != Monitors_.end() && Monitored->second.State == PeerMonitor::Phase::Suspected;
    if (Peer->EntryVm != Item.Target.EntryVm && !Suspected)
      Choices.push_back(Peer);
  }
  std::shuffle(Choices.begin(), Choices.end(), Random_);
  Choices.resize(std::min(Choices.size(), IndirectProbeCount));
  for (const auto *Helper : Choices) {
    auto Token = newToken();
    Item.Tokens.insert(Token);
    Out.emplace_back(SendIndirectProbe{Token, Helper->Address, Item.Target.Address,
                                       Item.Target.Process, Item.Deadline});
  }
}

void Membership::declareDead(const MemberRecord &Target, core::TimePoint Now,
                             MembershipActions &Out) {
  const auto *Known = Table_.find(Target.EntryVm);
  if (!Known || Known->Process != Target.Process)
    return;
  MemberRecord Dead = *Known;
  Dead.Standing = MemberStanding::Dead;
  Dead.ChangedAt = Now;
  if (!Table_.merge(Dead, Now))
    return;
  Announcement Update{.Origin = Own_.DataCentre, .Members = {Dead}};
  broadcast(Update, Out);
  if (isRelay())
    sendToOtherDataCentres(Update, Out);
}

void Membership::probeReplied(ProbeToken Token, const Heartbeat &Reply, core::TimePoint Now,
                              MembershipActions &Out) {
  recordLoad(Reply.Load, Now);
  for (const auto &Load : Reply.OtherLoads)
    recordLoad(Load, Now);
  for (auto &[Name, Item] : Monitors_)
    if (Item.Tokens.contains(Token))
      return confirmAlive(Item, Reply, Now, Out);
  for (auto &[Name, Item] : Gateways_) {
    if (Item.Token != Token)
      continue;
    Item.Token.reset();
    Item.LastReplyAt = Now;
    auto Addresses = gatewayAddresses(Name);
    // A new platform list may have removed the data centre since the probe was sent.
    if (!Addresses.empty())
      checkDigest(Reply, Addresses[Item.Choice % Addresses.size()], Item.DigestMismatches, Now,
                  Out);
    return;
  }
  auto Contact = ContactProbes_.extract(Token);
  if (Contact.empty())
    return;
  Joined_ = Joined_ || Table_.find(Reply.Process);
  if (Reply.Digest != Table_.digest(Now))
    sync(Contact.mapped(), Now, Out);
}

void Membership::confirmAlive(PeerMonitor &Item, const Heartbeat &Reply, core::TimePoint Now,
                              MembershipActions &Out) {
  Item.Tokens.clear();
  Item.State = PeerMonitor::Phase::Idle;
  Item.NextAt = std::max(Item.NextAt, Now);
  // A reply from another incarnation means that the old one has ended; fetch the new record now.
  if (Reply.Process != Item.Target.Process)
    return sync(Item.Target.Address, Now, Out);
  checkDigest(Reply, Item.Target.Address, Item.DigestMismatches, Now, Out);
}

void Membership::probeFailed(ProbeToken Token, core::TimePoint Now, MembershipActions &Out) {
  ContactProbes_.erase(Token);
  for (auto &[Name, Item] : Gateways_)
    if (Item.Token == Token)
      return gatewayProbeMissed(Item, Now);
  for (auto &[Name, Item] : Monitors_) {
    if (Item.Tokens.erase(Token) == 0)
      continue;
    if (Item.State == PeerMonitor::Phase::Probing)
      suspect(Item, Now, Out);
    return;
  }
}

Heartbeat Membership::heartbeat(core::TimePoint Now) {
  Heartbeat Result{Own_.Process, Own_.Revision, Table_.digest(Now), OwnLoad_, {}};
  constexpr std::size_t MaximumOtherLoads = 3;
  for (auto &[Process, Item] : Loads_) {
    if (Result.OtherLoads.size() == MaximumOtherLoads)
      break;
    if (Item.SendsLeft <= 0)
      continue;
    --Item.SendsLeft;
    Result.OtherLoads.push_back(Item.Load);
  }
  return Result;
}

Heartbeat Membership::heartbeatReceived(const Heartbeat &Sender, core::TimePoint Now) {
  recordLoad(Sender.Load, Now);
  for (const auto &Load : Sender.OtherLoads)
    recordLoad(Load, Now);
  return heartbeat(Now);
}

void Membership::setLoad(std::uint32_t WaitingTasks, std::uint32_t FreeSlots, std::uint64_t Version,
                         core::TimePoint Now) {
  bool Same = OwnLoad_.WaitingTasks == WaitingTasks && OwnLoad_.FreeSlots == FreeSlots;
  bool NewVersion = OwnLoad_.ConfigurationVersion != Version;
  if (!NewVersion && (Same || Now < NextLoadAt_))
    return;
  OwnLoad_ = {Own_.Process, OwnLoad_.Sequence + 1, WaitingTasks, FreeSlots, Version};
  NextLoadAt_ = Now + Settings_.LoadInterval;
}

void Membership::recordLoad(const LoadRecord &Load, core::TimePoint Now) {
  // Each load is passed on twice, because one heartbeat may be lost.
  constexpr int Sends = 2;
  if (Load.Process == Own_.Process || !Table_.find(Load.Process))
    return;
  auto &Item = Loads_[Load.Process.Value];
  Item.ReceivedAt = Now;
  if (Load.Sequence <= Item.Load.Sequence)
    return;
  Item = {Load, Sends, Now};
}

std::optional<LoadRecord> Membership::loadOf(Incarnation Process) const {
  if (Process == Own_.Process)
    return OwnLoad_;
  auto Found = Loads_.find(Process.Value);
  if (Found == Loads_.end())
    return std::nullopt;
  return Found->second.Load;
}

} // namespace cornellift::kernel
