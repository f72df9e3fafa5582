#include "Services/EntryDaemon/PeerComponent.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"

#include <optional>
#include <utility>

namespace cornellift::entry {
namespace {

/// How long stop() waits until the last announcement has been sent.
constexpr core::Duration FinalAnnouncementTimeout = std::chrono::milliseconds(300);

/// Returns the addresses of the seed-peers setting, whose entries have the form name=address:port.
std::vector<std::string> seedAddresses(const core::Settings &Settings) {
  std::vector<std::string> Result;
  for (const auto &Seed : Settings.list("seed-peers"))
    Result.push_back(Seed.substr(Seed.find('=') + 1));
  return Result;
}

/// Parses a list of announced=reached addresses. Empty with Malformed for any other form.
std::optional<peer::PeerClient::Routes> parseRoutes(const core::Settings &Settings) {
  peer::PeerClient::Routes Result;
  for (const auto &Route : Settings.list("peer-routes")) {
    auto Separator = Route.find('=');
    bool HasPorts = Separator != std::string::npos &&
                    Route.substr(0, Separator).find(':') != std::string::npos &&
                    Route.find(':', Separator) != std::string::npos;
    if (!HasPorts)
      return core::fail(core::ErrorKind::Malformed,
                        "--peer-routes: \"" + Route +
                            "\" is not announced=reached; give addresses with ports, as "
                            "10.0.0.1:7070=192.168.0.1:7070");
    Result[Route.substr(0, Separator)] = Route.substr(Separator + 1);
  }
  return Result;
}

} // namespace

PeerComponent::PeerComponent(Daemon &Owner, platform::PlatformStore *Store)
    : Owner_(Owner), Seeds_(seedAddresses(Owner.settings().All)),
      LeavingEndpoints_(Owner.kernel(), Owner.configuration()),
      Members_(
          Client_, [this] { return report(); }, Store),
      Slots_(Owner.kernel(), Owner.configuration(), Members_, Client_,
             Seeds_.empty() && Store == nullptr ? SlotLenderDriver::PeerMode::Standalone
                                                : SlotLenderDriver::PeerMode::WithPeers),
      Delegation_(Owner.kernel(), Owner.configuration(), Members_, Client_, Owner.issuerNames(),
                  Owner.incarnation()),
      Transfer_(Owner.kernel(), Owner.configuration(), Members_, Client_, Owner.issuerNames()),
      Network_(Members_, Client_),
      Service_({Members_, Slots_, Transfer_, Client_, Owner.callerApi(), Owner.requests(),
                Owner.issuerNames(), Owner.configuration()}) {
  Members_.setLeavingEndpoints(LeavingEndpoints_);
  Owner.setPeers(Network_);
  Owner.router().setDelegationHandler(
      [this](const kernel::Action &Next) { return Delegation_.perform(Next); });
  Owner.router().setTransferHandler(
      [this](const kernel::Action &Next) { Transfer_.perform(Next); });
  Owner.metrics().gauge("cornellift_peer_calls_total",
                        [this] { return static_cast<double>(Client_.callsSent()); });
}

PeerComponent::~PeerComponent() { stop(); }

void PeerComponent::setConfiguration(ConfigurationSource *Source) {
  Members_.setConfiguration(Source);
  Service_.setConfiguration(Source);
}

bool PeerComponent::start() {
  const auto &Settings = Owner_.settings();
  auto Address = Settings.All.text("peer-address");
  auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return core::failFalse(core::ErrorKind::Malformed,
                           "--peer-address: give an IP address and a port, as 10.0.0.1:7070");
  auto Routes = parseRoutes(Settings.All);
  if (!Routes)
    return false;
  Client_.setRoutes(std::move(*Routes));
  kernel::MemberRecord Own;
  Own.EntryVm = Settings.EntryVm;
  Own.DataCentre = Settings.DataCentre;
  Own.Process = Owner_.incarnation();
  Own.Address = Address;
  // With port 0 the system chooses a free port, which is known only once the server runs. Peers
  // that call before the record is updated see the wrong port for a short time only.
  Members_.setOwnRecord(Own, Seeds_);
  if (!Server_.start(Address, Service_))
    return false;
  Own.Address = Address.substr(0, Colon + 1) + std::to_string(Server_.port());
  Members_.setOwnRecord(Own, Seeds_);
  Slots_.createLender();
  attachToKernel();
  core::logLine(core::LogLevel::Information, "peer", "listening", {{"address", Own.Address}});
  return Members_.start();
}

MembershipMonitor::SelfReport PeerComponent::report() const {
  using kernel::MemberStanding;
  auto Load = Owner_.kernel().load();
  auto Current = Owner_.configuration().get();
  auto Standing = Owner_.isStopping() ? MemberStanding::Stopping
                  : Owner_.isReady()  ? MemberStanding::Ready
                                      : MemberStanding::Starting;
  return {Standing, Load.WaitingTasks, Load.FreeSlots, Current ? Current->Version : 0};
}

void PeerComponent::attachToKernel() {
  Owner_.kernel().run([this](const auto &, auto) {
    Owner_.kernel().setTickHook([this](const auto &Scheduler, auto Now) {
      Slots_.tick(Scheduler, Now);
      Delegation_.tick(Scheduler, Now);
      Transfer_.tick(Now);
    });
  });
}

void PeerComponent::beginStop() {
  Members_.change([](kernel::Membership &View, core::TimePoint Now, auto &Out) {
    if (View.own().Standing < kernel::MemberStanding::Stopping)
      View.setStanding(kernel::MemberStanding::Stopping, Now, Out);
  });
  Transfer_.begin();
  TransferBegun_.store(true);
}

bool PeerComponent::isDrained() const { return !TransferBegun_.load() || Transfer_.isDone(); }

void PeerComponent::stop() {
  Transfer_.stop();
  Members_.stop();
  if (Server_.port() != 0)
    Members_.change([](kernel::Membership &View, core::TimePoint Now, auto &Out) {
      // Announces the end, so that the peers need not wait for their failure detectors.
      if (View.own().Standing < kernel::MemberStanding::Dead)
        View.setStanding(kernel::MemberStanding::Dead, Now, Out);
    });
  Client_.awaitIdle(core::MonotonicClock::now() + FinalAnnouncementTimeout);
  Server_.stop();
  Client_.close();
}

} // namespace cornellift::entry
