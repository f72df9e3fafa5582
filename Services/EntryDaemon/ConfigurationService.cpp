#include "Services/EntryDaemon/ConfigurationService.h"

#include <csignal>
#include <utility>

#include <unistd.h>

namespace cornellift::entry {

ConfigurationService::ConfigurationService(Daemon &Owner,
                                           std::unique_ptr<platform::PlatformStore> Store)
    : Store_(std::move(Store)),
      Configuration_(*Store_,
                     [&Owner](const std::shared_ptr<const kernel::KernelConfiguration> &Next) {
                       Owner.applyConfiguration(Next);
                     }),
      NoPeers_({Owner.settings().EntryVm, Owner.settings().DataCentre, Owner.incarnation(),
                MemberState::Alive, 0},
               &Configuration_),
      // A drain is a planned stop, which the main thread begins on SIGTERM.
      Operators_(Owner.settings().EntryVm, Owner.settings().DataCentre, *Store_, Configuration_,
                 Owner.settings().OperatorKeys, [] { kill(getpid(), SIGTERM); }) {
  setPeers(NoPeers_);
  Operators_.addRoutes(Owner.http());
  Owner.metrics().gauge("cornellift_configuration_version",
                        [this] { return static_cast<double>(Configuration_.version()); });
  Owner.metrics().gauge("cornellift_store_reachable",
                        [this] { return Configuration_.isStoreReachable() ? 1.0 : 0.0; });
}

std::unique_ptr<ConfigurationService> ConfigurationService::make(Daemon &Owner) {
  auto Store = platform::PlatformStoreRegistry::instance().create(
      "http", Owner.settings().All.text("platform-address"));
  if (!Store)
    return nullptr;
  return std::make_unique<ConfigurationService>(Owner, std::move(*Store));
}

void ConfigurationService::setPeers(PeerNetwork &Peers) {
  Configuration_.setPeers(Peers);
  Operators_.setPeers(Peers);
}

} // namespace cornellift::entry
