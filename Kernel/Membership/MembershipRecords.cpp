// Dissemination of records: announcements, syncs, gateways between data centres, and joining.
#include "Kernel/Membership/Membership.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// A process that reaches no peer within this time runs alone until it reaches one.
constexpr core::Duration JoinTimeout = std::chrono::seconds(3);
constexpr core::Duration SyncInterval = std::chrono::seconds(1);
/// A single mismatch is normal while an announcement is in flight.
constexpr int TolerableMismatches = 1;

} // namespace

bool Membership::isPeer(const MemberRecord &Record) const {
  return Record.EntryVm != Own_.EntryVm && Record.DataCentre == Own_.DataCentre &&
         Record.Standing != MemberStanding::Dead;
}

std::vector<const MemberRecord *> Membership::localPeers() const {
  std::vector<const MemberRecord *> Result;
  for (const auto &[Name, Record] : Table_.members())
    if (isPeer(Record))
      Result.push_back(&Record);
  return Result;
}

std::string Membership::relay() const {
  for (auto Wanted : {MemberStanding::Ready, MemberStanding::Starting})
    for (const auto &[Name, Record] : Table_.members())
      if (Record.DataCentre == Own_.DataCentre && Record.Standing == Wanted &&
          (!Superseded_ || Name != Own_.EntryVm))
        return Name;
  return Superseded_ ? "" : Own_.EntryVm;
}

bool Membership::isUnreachable(std::string_view DataCentre) const {
  const auto *Relay = Table_.find(relay());
  return Relay && std::find(Relay->Unreachable.begin(), Relay->Unreachable.end(), DataCentre) !=
                      Relay->Unreachable.end();
}

std::optional<MemberRecord> Membership::nextReady() const {
  std::optional<MemberRecord> First;
  for (const auto *Peer : localPeers()) {
    if (Peer->Standing != MemberStanding::Ready)
      continue;
    if (Peer->EntryVm > Own_.EntryVm)
      return *Peer;
    if (!First)
      First = *Peer;
  }
  return First;
}

void Membership::publishOwn(core::TimePoint Now, MembershipActions &Out) {
  if (Superseded_)
    return;
  Own_.ChangedAt = Now;
  Table_.merge(Own_, Now);
  Announcement Update{.Origin = Own_.DataCentre, .Members = {Own_}};
  broadcast(Update, Out);
  if (isRelay())
    sendToOtherDataCentres(Update, Out);
}

void Membership::setStanding(MemberStanding Standing, core::TimePoint Now, MembershipActions &Out) {
  if (Own_.Standing == Standing)
    return;
  Own_.Standing = Standing;
  ++Own_.Revision;
  publishOwn(Now, Out);
}

void Membership::announceSuccession(SuccessionRecord Record, core::TimePoint Now,
                                    MembershipActions &Out) {
  Record.ChangedAt = Now;
  if (!Table_.merge(Record, Now))
    return;
  Announcement Update{.Origin = Own_.DataCentre, .Successions = {Record}};
  broadcast(Update, Out);
  sendToOtherDataCentres(Update, Out);
}

void Membership::announceVersion(std::uint64_t Version, Reach Range, core::TimePoint Now,
                                 MembershipActions &Out) {
  setLoad(OwnLoad_.WaitingTasks, OwnLoad_.FreeSlots, Version, Now);
  Announcement Update{
      .Origin = Own_.DataCentre, .ConfigurationVersion = Version, .Sender = OwnLoad_};
  broadcast(Update, Out);
  if (Range == Reach::Everywhere)
    sendToOtherDataCentres(Update, Out);
}

void Membership::broadcast(const Announcement &Update, MembershipActions &Out) const {
  for (const auto *Peer : localPeers())
    Out.emplace_back(SendAnnouncement{Peer->Address, Update});
}

void Membership::sendToOtherDataCentres(const Announcement &Update, MembershipActions &Out) const {
  std::set<std::string> DataCentres;
  for (const auto &[Name, Record] : Table_.members())
    if (Record.DataCentre != Own_.DataCentre && Record.Standing != MemberStanding::Dead)
      DataCentres.insert(Record.DataCentre);
  for (const auto &DataCentre : DataCentres) {
    auto Addresses = gatewayAddresses(DataCentre);
    auto Known = Gateways_.find(DataCentre);
    std::size_t Choice = Known == Gateways_.end() ? 0 : Known->second.Choice;
    Out.emplace_back(SendAnnouncement{Addresses[Choice % Addresses.size()], Update});
  }
}

Announcement Membership::announced(const Announcement &Update, core::TimePoint Now,
                                   MembershipActions &Out) {
  if (Update.Sender)
    recordLoad(*Update.Sender, Now);
  Announcement ForOwnDataCentre{.Origin = Own_.DataCentre};
  Announcement ForOtherDataCentres{.Origin = Own_.DataCentre};
  for (const auto &Record : Update.Members) {
    if (!mergeMember(Record, Now, Out))
      continue;
    // A process sends its updates to all VMs of its own data centre itself; updates from another
    // data centre are forwarded by their receiver.
    auto &Side = Record.DataCentre == Own_.DataCentre ? ForOtherDataCentres : ForOwnDataCentre;
    Side.Members.push_back(Record);
  }
  for (const auto &Record : Update.Successions) {
    if (!Table_.merge(Record, Now))
      continue;
    ForOwnDataCentre.Successions.push_back(Record);
  }
  bool FromOtherDataCentre = Update.Origin != Own_.DataCentre;
  if (FromOtherDataCentre &&
      (!ForOwnDataCentre.Members.empty() || !ForOwnDataCentre.Successions.empty()))
    broadcast(ForOwnDataCentre, Out);
  if (!ForOtherDataCentres.Members.empty() && isRelay())
    sendToOtherDataCentres(ForOtherDataCentres, Out);
  if (Update.Scope != Announcement::Extent::Full)
    return {.Origin = Own_.DataCentre};
  Joined_ = true;
  return fullAnnouncement();
}

Announcement Membership::fullAnnouncement() const {
  Announcement Result{.Origin = Own_.DataCentre, .Scope = Announcement::Extent::Full};
  for (const auto &[Name, Record] : Table_.members())
    Result.Members.push_back(Record);
  Result.Successions = Table_.successions();
  return Result;
}

bool Membership::mergeMember(const MemberRecord &Record, core::TimePoint Now,
                             MembershipActions &Out) {
  return Record.EntryVm == Own_.EntryVm ? mergeOwn(Record, Now, Out) : Table_.merge(Record, Now);
}

bool Membership::mergeOwn(const MemberRecord &Record, core::TimePoint Now, MembershipActions &Out) {
  if (Record.Process != Own_.Process) {
    if (Record.StartedAt < Own_.StartedAt || !Table_.merge(Record, Now))
      return false;
    // Before the first sync, the other incarnation must be an earlier one whose clock was ahead;
    // afterwards it has replaced this process.
    Superseded_ = Joined_ && Record.Standing != MemberStanding::Dead;
    if (Superseded_)
      return true;
    Own_.StartedAt = Record.StartedAt + 1;
    publishOwn(Now, Out);
    return false;
  }
  bool Newer = Record.Revision > Own_.Revision ||
               (Record.Revision == Own_.Revision && Record.Standing > Own_.Standing);
  if (!Newer)
    return false;
  Own_.Revision = Record.Revision + 1;
  if (Record.Standing == MemberStanding::Stopping)
    Own_.Standing = MemberStanding::Stopping;
  publishOwn(Now, Out);
  return false;
}

void Membership::platformListReceived(std::vector<ListedVm> Listed, core::TimePoint Now,
                                      MembershipActions &Out) {
  Listed_ = std::move(Listed);
  for (const auto &Vm : Listed_) {
    const auto *Known = Table_.find(Vm.EntryVm);
    if (Vm.State != ListedVm::Status::Leaving || !Known || Known->Address != Vm.Address)
      continue;
    if (Known->Standing >= MemberStanding::Stopping)
      continue;
    MemberRecord Leaving = *Known;
    Leaving.Standing = MemberStanding::Stopping;
    Leaving.ChangedAt = Now;
    if (mergeMember(Leaving, Now, Out))
      broadcast({.Origin = Own_.DataCentre, .Members = {Leaving}}, Out);
  }
}

void Membership::runGateways(core::TimePoint Now, MembershipActions &Out) {
  if (!isRelay()) {
    Gateways_.clear();
  } else {
    auto DataCentres = otherDataCentres();
    std::erase_if(Gateways_, [&](auto &Item) { return !DataCentres.contains(Item.first); });
    for (const auto &DataCentre : DataCentres)
      Gateways_.try_emplace(DataCentre, Gateway{.NextAt = Now, .LastReplyAt = Now});
  }
  for (auto &[Name, Item] : Gateways_)
    runGateway(Name, Item, Now, Out);
  updateUnreachable(Now, Out);
}

void Membership::runGateway(const std::string &DataCentre, Gateway &Item, core::TimePoint Now,
                            MembershipActions &Out) {
  if (Item.Token && Now >= Item.Deadline)
    gatewayProbeMissed(Item, Now);
  if (Now < Item.NextAt)
    return;
  auto Addresses = gatewayAddresses(DataCentre);
  Item.NextAt = Now + Settings_.GatewayInterval;
  Item.Deadline = Now + Settings_.GatewayTimeout;
  Item.Token = newToken();
  Out.emplace_back(SendProbe{*Item.Token, Addresses[Item.Choice % Addresses.size()], Item.Deadline,
                             heartbeat(Now)});
}

void Membership::gatewayProbeMissed(Gateway &Item, core::TimePoint Now) const {
  Item.Token.reset();
  ++Item.Choice;
  // Three consecutive misses fit into the timeout. A data centre that remains unreachable is probed
  // less often.
  if (Now - Item.LastReplyAt <= Settings_.DataCentreTimeout)
    Item.NextAt = std::min(Item.NextAt, Item.Deadline);
}

std::set<std::string> Membership::otherDataCentres() const {
  std::set<std::string> Result;
  for (const auto &[Name, Record] : Table_.members())
    Result.insert(Record.DataCentre);
  // A data centre that was unreachable before its first record arrived is known from the platform's
  // list only.
  for (const auto &Vm : Listed_)
    Result.insert(Vm.DataCentre);
  Result.erase(Own_.DataCentre);
  return Result;
}

std::vector<std::string> Membership::gatewayAddresses(std::string_view DataCentre) const {
  std::vector<std::string> Live;
  std::vector<std::string> All;
  for (const auto &[Name, Record] : Table_.members()) {
    if (Record.DataCentre != DataCentre)
      continue;
    All.push_back(Record.Address);
    if (Record.Standing != MemberStanding::Dead)
      Live.push_back(Record.Address);
  }
  for (const auto &Vm : Listed_)
    if (All.empty() && Vm.DataCentre == DataCentre)
      Live.push_back(Vm.Address);
  return Live.empty() ? All : Live;
}

void Membership::updateUnreachable(core::TimePoint Now, MembershipActions &Out) {
  std::vector<std::string> Unreachable;
  for (const auto &[Name, Item] : Gateways_)
    if (Now - Item.LastReplyAt > Settings_.DataCentreTimeout)
      Unreachable.push_back(Name);
  if (Unreachable == Own_.Unreachable)
    return;
  Own_.Unreachable = std::move(Unreachable);
  ++Own_.Revision;
  publishOwn(Now, Out);
}

void Membership::contact(core::TimePoint Now, MembershipActions &Out) {
  if (!Joined_ && Now >= Own_.ChangedAt + JoinTimeout)
    Joined_ = true;
  if (Now < NextContactAt_)
    return;
  std::set<std::string> Addresses(Seeds_.begin(), Seeds_.end());
  for (const auto &Vm : Listed_)
    if (Vm.DataCentre == Own_.DataCentre || isRelay())
      Addresses.insert(Vm.Address);
  for (const auto &[Name, Record] : Table_.members())
    if (Record.DataCentre == Own_.DataCentre || isRelay())
      Addresses.insert(Record.Address);
  for (const auto &[Name, Record] : Table_.members())
    if (Record.Standing != MemberStanding::Dead)
      Addresses.erase(Record.Address);
  Addresses.erase(Own_.Address);
  NextContactAt_ = Now + (Joined_ ? Settings_.ContactInterval : Settings_.JoinInterval);
  if (Addresses.empty())
    return;
  auto Chosen = std::next(Addresses.begin(), static_cast<long>(Random_() % Addresses.size()));
  auto Token = newToken();
  // At most one is outstanding, so that unanswered probes do not accumulate.
  ContactProbes_.clear();
  ContactProbes_[Token] = *Chosen;
  Out.emplace_back(SendProbe{Token, *Chosen, NextContactAt_, heartbeat(Now)});
}

void Membership::checkDigest(const Heartbeat &Reply, const std::string &Address, int &Mismatches,
                             core::TimePoint Now, MembershipActions &Out) {
  Mismatches = Reply.Digest == Table_.digest(Now) ? 0 : Mismatches + 1;
  if (Mismatches <= TolerableMismatches || Now < NextSyncAt_)
    return;
  Mismatches = 0;
  sync(Address, Now, Out);
}

void Membership::sync(const std::string &Address, core::TimePoint Now, MembershipActions &Out) {
  NextSyncAt_ = Now + SyncInterval;
  Out.emplace_back(SendAnnouncement{Address, fullAnnouncement()});
}

} // namespace cornellift::kernel
