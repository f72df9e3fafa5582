#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace cornellift::kernel {

/// A piece of a configuration document that a peer sent.
struct ConfigurationPart {
  std::uint64_t Version = 0;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0; ///< Size of the whole document.
  std::string_view Bytes;
};

/// Asks a peer for the piece of a document that begins at Offset.
struct ConfigurationRequest {
  PeerIndex Peer = SelfPeer;
  std::uint64_t Version = 0; ///< Zero: the version that the peer has in force.
  std::uint64_t Offset = 0;
};

/// Decides from which peer a newer configuration is requested, and when. The store sends the
/// document to every process, so that a peer is asked only if that takes long, and one peer at a
/// time: a document copied from all peers at once fills the links of small VMs.
class ConfigurationFetch {
public:
  explicit ConfigurationFetch(std::uint32_t Seed);

  /// A peer has reported the version that it has in force.
  void peerReported(PeerIndex Peer, std::uint64_t Version, core::TimePoint Now);
  void peerLost(PeerIndex Peer);
  /// This process has put a version in force.
  void versionInForce(std::uint64_t Version, core::TimePoint Now);

  /// Returns the request that is due, at most once.
  std::optional<ConfigurationRequest> nextRequest(core::TimePoint Now);

  /// Returns the whole document when the part completes it.
  std::optional<std::string> partReceived(PeerIndex Peer, const ConfigurationPart &Part,
                                          core::TimePoint Now);

private:
  struct Transfer {
    PeerIndex Peer = SelfPeer;
    std::uint64_t Version = 0; ///< Zero until the first part tells it.
    std::string Received;
    core::TimePoint Deadline; ///< For the next part.
    bool IsNextPartDue = false;
  };

  std::optional<PeerIndex> choosePeer();

  std::uint64_t InForce_ = 0;
  std::map<PeerIndex, std::uint64_t> Reported_; ///< Newest version of each peer.
  /// When a peer may be asked; set while a peer has a newer version.
  std::optional<core::TimePoint> AskAt_;
  std::optional<Transfer> Transfer_;
  std::optional<PeerIndex> LastFailed_; ///< Peer that sent no part in time.
  std::minstd_rand Random_;
};

} // namespace cornellift::kernel
