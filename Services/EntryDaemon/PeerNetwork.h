#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Membership/Membership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::entry {

/// Standing of an entry VM as seen from this process.
enum class MemberState { Alive, Stopping, Dead, Unreachable };

/// One entry VM as shown in the status.
struct MemberStatus {
  std::string EntryVm;
  std::string DataCentre;
  kernel::Incarnation Incarnation;
  MemberState State{};
  std::uint64_t ConfigurationVersion = 0;
};

/// A caller's HTTP request, passed on to the entry VM that may answer it.
struct ForwardedRequest {
  std::string Method;
  std::string Path; ///< With the query.
  std::string Team; ///< As authenticated by the VM that received the request.
  std::string Body;
};

struct ForwardedResponse {
  std::uint32_t Status = 0; ///< HTTP status.
  std::string Body;
};

/// Why a request could not be forwarded.
enum class ForwardFailure {
  Unreachable, ///< The owner's VM does not answer; it may be alive.
  IssuerDead   ///< The incarnation is known to have ended without a successor.
};

/// What the other duties of the entry daemon need from its peers. Safe to use from every thread.
class PeerNetwork {
public:
  virtual ~PeerNetwork() = default;

  /// True when this process watches the platform's store on behalf of its data centre.
  virtual bool isRelay() const = 0;

  /// Asks all reachable peers for their configuration head and returns the one with the highest
  /// version above HaveVersion, as stored JSON text; empty with NotFound when there is none, or
  /// with Unavailable when no peer answers.
  virtual std::optional<std::string> fetchConfiguration(std::uint64_t HaveVersion) = 0;

  /// Tells the peers at once that this process has a newer configuration to fetch.
  using Reach = kernel::Membership::Reach;
  virtual void announceVersion(std::uint64_t Version, Reach Range) = 0;

  /// Every entry VM that is known, this one included.
  virtual std::vector<MemberStatus> members() const = 0;

  /// Passes a request on to the owner of the incarnation, following its succession. Returns an
  /// empty optional and sets Failure when no response came; the request may have been handled then.
  virtual std::optional<ForwardedResponse> forward(std::string_view EntryVm,
                                                   kernel::Incarnation Issuer,
                                                   const ForwardedRequest &Request,
                                                   ForwardFailure &Failure) = 0;
};

} // namespace cornellift::entry
