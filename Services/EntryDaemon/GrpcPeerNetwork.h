#pragma once

#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/MembershipMonitor.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <optional>
#include <string>
#include <vector>

namespace cornellift::entry {

/// Calls the other entry processes over gRPC. Thread-safe.
class GrpcPeerNetwork : public PeerNetwork {
public:
  GrpcPeerNetwork(MembershipMonitor &Members, peer::PeerClient &Client)
      : Members_(Members), Client_(Client) {}

  bool isRelay() const override;
  std::optional<Fetched> fetchConfiguration(std::uint64_t HaveVersion, Form Wanted) override;
  void announceVersion(std::uint64_t Version, Reach Range) override;
  std::vector<MemberStatus> members() const override;
  std::optional<ForwardedResponse> forward(std::string_view EntryVm, kernel::Incarnation Issuer,
                                           const ForwardedRequest &Request,
                                           ForwardFailure &Failure) override;

private:
  /// The process that has the state of an incarnation. Address is empty when the incarnation is
  /// known to have ended.
  struct Owner {
    std::string Address;
    kernel::Incarnation Process;
    enum class Liveness { Alive, Dead } State{};
  };

  Owner findOwner(std::string_view EntryVm, kernel::Incarnation Issuer) const;
  bool isReachable(const Owner &Target) const;
  void addRemoteVersions(std::vector<MemberStatus> &Members) const;

  MembershipMonitor &Members_;
  peer::PeerClient &Client_;
};

} // namespace cornellift::entry
