// The part of PoolDaemon that decides which data centres' workers it manages, and since when.
#include "Libraries/LibCore/Log.h"
#include "Services/PoolDaemon/PoolDaemon.h"

namespace cornellift::pool {
namespace {

/// Two seconds after a worker begins to drain it must get no new task; an older listing may not
/// show that it drains.
constexpr core::Duration MaximumListingAge = std::chrono::milliseconds(1000);
/// How long a new manager waits for a fresh listing. After that time the store counts as
/// unavailable and the existing listing is used.
constexpr core::Duration FreshListingTimeout = std::chrono::milliseconds(300);

} // namespace

void PoolDaemon::applyElection(core::TimePoint Now) {
  Election_.setReady(isReadyToManage());
  Election_.setOthersExist(Mesh_.hasKnownPeers());
  auto Changes = Election_.evaluate(Now);
  for (const auto &Begun : Changes.Begun) {
    core::logLine(core::LogLevel::Information, "pool", "managing the workers of a data centre",
                  {{"data_centre", Begun.DataCentre},
                   {"claim_in_ms", std::to_string(core::toMilliseconds(Begun.ClaimAt - Now))}});
    Successors_.erase(Begun.DataCentre);
    Claims_.begin(Begun);
    if (Now - Directory_.refreshedAt() > MaximumListingAge)
      FreshListingDeadlines_[Begun.DataCentre] = Now + FreshListingTimeout;
  }
  for (const auto &Stopped : Changes.Stopped) {
    core::logLine(core::LogLevel::Information, "pool", "releasing the workers of a data centre",
                  {{"data_centre", Stopped.DataCentre}});
    Successors_[Stopped.DataCentre] = Stopped.Successor;
    ReleasingSince_[Stopped.DataCentre] = Now;
    Claims_.end(Stopped.DataCentre);
    FreshListingDeadlines_.erase(Stopped.DataCentre);
  }
  bool HasChanged = !Changes.Begun.empty() || !Changes.Stopped.empty();
  if (HasChanged)
    Directory_.setWatching(!Election_.managed().empty());
  if (HasChanged || !FreshListingDeadlines_.empty())
    workersChanged();
  for (const auto &Rest : Changes.Claims) {
    Claims_.claimRemaining(Rest.DataCentre, Rest.ClaimAt);
    for (const auto &Entry : Directory_.listing().workersIn({Rest.DataCentre}))
      Manager_.fleet().deferClaim(Entry.Id, Rest.ClaimAt, Now);
  }
  tellSuccessors();
  AssignedManager_ = Election_.assignedManager();
  Ingress_.setAssignedManager(AssignedManager_, Now);
  if (HasChanged) {
    reportReleased(Now);
    Mesh_.sendHeartbeats(Now);
  }
}

void PoolDaemon::workersChanged() {
  auto Now = core::MonotonicClock::now();
  auto Entries = Directory_.listing().workersIn(usableDataCentres(Now));
  for (const auto &Entry : Entries) {
    auto ClaimAt = Claims_.claimAt(Entry.DataCentre, Entry.Id);
    if (ClaimAt && *ClaimAt > Now)
      Manager_.fleet().deferClaim(Entry.Id, *ClaimAt, Now);
  }
  Manager_.setWorkers(Entries, Now);
}

std::set<std::string> PoolDaemon::usableDataCentres(core::TimePoint Now) {
  std::erase_if(FreshListingDeadlines_, [&](const auto &Awaiting) {
    if (Directory_.refreshedAt() + FreshListingTimeout >= Awaiting.second)
      return true; // Read after the data centre was taken over.
    if (Now < Awaiting.second)
      return false;
    core::logLine(
        core::LogLevel::Warning, "pool", "using an old listing of the workers",
        {{"data_centre", Awaiting.first},
         {"age_ms", std::to_string(core::toMilliseconds(Now - Directory_.refreshedAt()))}});
    return true;
  });
  auto Usable = Election_.managed();
  for (const auto &[DataCentre, Until] : FreshListingDeadlines_)
    Usable.erase(DataCentre);
  return Usable;
}

void PoolDaemon::workerDropped(kernel::EndpointIndex Worker) {
  const auto &Entry = Manager_.fleet().at(Worker).Entry;
  auto Successor = Successors_.find(Entry.DataCentre);
  if (Successor != Successors_.end())
    send(Successor->second, kernel::ReleaseWorkers{{Entry.Id}});
}

void PoolDaemon::tellSuccessors() {
  for (const auto &DataCentre : Election_.releasing()) {
    auto Manager = Election_.managerAmongPeers(DataCentre);
    auto Successor = Successors_.find(DataCentre);
    bool IsKnown =
        Successor != Successors_.end() && Election_.isManagerOf(Successor->second, DataCentre);
    if (!Manager || IsKnown)
      continue;
    Successors_[DataCentre] = *Manager;
    if (auto Ids = Manager_.fleet().releasedIn(DataCentre); !Ids.empty())
      send(*Manager, kernel::ReleaseWorkers{std::move(Ids)});
  }
}

void PoolDaemon::workersReleased(kernel::PeerIndex From, const kernel::ReleaseWorkers &Released,
                                 core::TimePoint Now) {
  for (const auto &Id : Released.Ids) {
    Claims_.released(From, Id);
    Metrics_.counter("cornellift_workers_received_total").add();
    const auto *Entry = Directory_.listing().find(Id);
    auto ClaimAt = Entry ? Claims_.claimAt(Entry->DataCentre, Id) : std::nullopt;
    if (ClaimAt && *ClaimAt > Now)
      Manager_.fleet().deferClaim(Id, *ClaimAt, Now);
    else
      Manager_.fleet().claimNow(Id, Now);
  }
}

void PoolDaemon::reportReleased(core::TimePoint Now) {
  auto Releasing = Election_.releasing();
  for (const auto &DataCentre : Releasing) {
    bool IsHeld = false;
    for (std::size_t Position = 0; Position < Manager_.fleet().size(); ++Position) {
      const auto &Known = Manager_.fleet().at(static_cast<kernel::EndpointIndex>(Position));
      IsHeld = IsHeld ||
               (Known.Entry.DataCentre == DataCentre && Known.Lease != kernel::LeaseState::Absent);
    }
    if (IsHeld)
      continue;
    core::logLine(
        core::LogLevel::Information, "pool", "all workers of a data centre released",
        {{"data_centre", DataCentre},
         {"taken_ms", std::to_string(core::toMilliseconds(Now - ReleasingSince_[DataCentre]))}});
    ReleasingSince_.erase(DataCentre);
    Election_.released(DataCentre);
    Mesh_.sendHeartbeats(Now);
  }
}

} // namespace cornellift::pool
