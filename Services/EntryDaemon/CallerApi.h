#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibHttp/HttpServer.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/JobParser.h"
#include "Services/EntryDaemon/KeyTable.h"
#include "Services/EntryDaemon/PeerNetwork.h"
#include "Services/EntryDaemon/RequestTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// The caller interface of docs/API.md: sessions and jobs. Safe to use from every thread.
class CallerApi {
public:
  /// Sender of a request. A request from a peer is never forwarded again.
  enum class Origin { Caller, Peer };

  CallerApi(std::string EntryVm, RequestTable &Requests, const CurrentConfiguration &Configuration,
            const KeyTable &TeamKeys, core::MetricsRegistry &Metrics);

  /// Sets the peers to which requests for jobs of other issuers are forwarded. Call before the
  /// server starts.
  void setPeers(PeerNetwork *Peers) { Peers_ = Peers; }

  void addRoutes(http::HttpServer &Server);

  /// Handles a request whose team has been authenticated.
  ForwardedResponse handle(const ForwardedRequest &Request, Origin From);

private:
  struct JobTarget {
    kernel::NamedJobId Id;
    std::string Text;
    std::optional<core::TimePoint> WaitUntil;
    std::uint64_t Fingerprint = 0; ///< Fingerprint of a submission; zero for other requests.
  };

  void answer(const httplib::Request &Request, httplib::Response &Response);
  ForwardedResponse openSession(kernel::TeamIndex Team);
  ForwardedResponse submit(const ForwardedRequest &Request, kernel::TeamIndex Team, Origin From);
  ForwardedResponse queryJob(const ForwardedRequest &Request, kernel::TeamIndex Team, Origin From);
  ForwardedResponse cancel(const ForwardedRequest &Request, kernel::TeamIndex Team, Origin From);
  std::optional<kernel::JobSpec> makeSpec(ParsedJob &Job, kernel::TeamIndex Team) const;
  std::optional<JobTarget> parseTarget(std::string_view Id, std::string_view Path) const;
  ForwardedResponse completeRequest(const ForwardedRequest &Request, const JobTarget &Target,
                                    const std::optional<kernel::Response> &Content, Origin From);
  ForwardedResponse forward(const ForwardedRequest &Request, const JobTarget &Target, Origin From);
  ForwardedResponse recover(const JobTarget &Target, std::string_view Team) const;
  void addNextIdentifiers(const JobTarget &Target, kernel::TeamIndex Team, std::string &Body);
  std::optional<kernel::IdentifierBlock> fetchBlock(kernel::TeamIndex Team);

  const std::string EntryVm_;
  RequestTable &Requests_;
  const CurrentConfiguration &CurrentConfiguration_;
  const KeyTable &TeamKeys_;
  PeerNetwork *Peers_ = nullptr;
  core::Counter &Submissions_;
  core::Counter &Refusals_;
  core::Counter &Forwards_;
  core::Counter &Recoveries_;
  core::Distribution &SubmitMilliseconds_;
};

} // namespace cornellift::entry
