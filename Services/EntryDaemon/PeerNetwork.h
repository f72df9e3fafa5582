#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Membership/Membership.h"
#include "Libraries/LibConfiguration/HeadDelta.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornellift::entry {

/// State of an entry VM as seen from this process.
enum class MemberState { Alive, Stopping, Dead, Unreachable };

/// Entry of one entry VM in the status.
struct MemberStatus {
  std::string EntryVm;
  std::string DataCentre;
  kernel::Incarnation Incarnation;
  MemberState State{};
  std::uint64_t ConfigurationVersion = 0;
};

/// A caller's HTTP request that is forwarded to the entry VM that owns the job.
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
  Unreachable, ///< The owner's VM does not respond; it may be alive.
  IssuerDead   ///< The incarnation is known to have ended without a successor.
};

/// Interface to the peers for the other components of the entry daemon. Thread-safe.
class PeerNetwork {
public:
  virtual ~PeerNetwork() = default;

  /// True when this process watches the platform's store on behalf of its data centre.
  virtual bool isRelay() const = 0;

  /// Forms in which fetchConfiguration() may return the configuration head.
  enum class Form { Whole, WholeOrChanges };
  using Fetched = std::variant<std::string, configuration::HeadDelta>;
  /// Requests the configuration head from all reachable peers and returns the one with the highest
  /// version above HaveVersion, as stored JSON text or, if the form allows it, as changes to the
  /// head of HaveVersion. Empty with NotFound when no peer has a higher version, or with
  /// Unavailable when no peer replies.
  virtual std::optional<Fetched> fetchConfiguration(std::uint64_t HaveVersion, Form Wanted) = 0;

  using Reach = kernel::Membership::Reach;
  /// Announces immediately that peers can fetch a newer configuration from this process.
  virtual void announceVersion(std::uint64_t Version, Reach Range) = 0;

  /// Returns all known entry VMs, including this one.
  virtual std::vector<MemberStatus> members() const = 0;

  /// Forwards a request to the owner of the incarnation, following its succession. Returns an empty
  /// optional and sets Failure when there was no response; the request may still have been handled.
  virtual std::optional<ForwardedResponse> forward(std::string_view EntryVm,
                                                   kernel::Incarnation Issuer,
                                                   const ForwardedRequest &Request,
                                                   ForwardFailure &Failure) = 0;
};

} // namespace cornellift::entry
