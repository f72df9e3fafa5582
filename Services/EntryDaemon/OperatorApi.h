#pragma once

#include "Libraries/LibConfiguration/VersionStore.h"
#include "Libraries/LibHttp/HttpServer.h"
#include "Services/EntryDaemon/ConfigurationUpdater.h"
#include "Services/EntryDaemon/KeyTable.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <functional>
#include <optional>
#include <string>

namespace cornellift::entry {

/// HTTP routes for operators: configuration, audit records, status, differences between versions,
/// and drain. Each request identifies its operator by the key in the header X-Cornellift-Key. A
/// request with a wrong key has no effect, gets status 401 and is recorded in the audit log.
class OperatorApi {
public:
  using Request = httplib::Request;
  using Response = httplib::Response;

  /// Drain starts the planned stop of this process and returns immediately.
  OperatorApi(std::string EntryVm, std::string DataCentre, platform::PlatformStore &Store,
              ConfigurationUpdater &Updater, const KeyTable &OperatorKeys,
              std::function<void()> Drain);

  /// Sets the peers that the status shows. Call before the server starts.
  void setPeers(const PeerNetwork &Peers) { Peers_ = &Peers; }

  /// Call before the server starts.
  void addRoutes(http::HttpServer &Server);

private:
  using Handler = void (OperatorApi::*)(const std::string &, const Request &, Response &);

  void addRoute(http::HttpServer &Server, std::string_view Method, std::string_view Path,
                Handler Handle);
  std::optional<std::string> authenticate(const Request &Call, Response &Reply) const;

  void getConfiguration(const std::string &Who, const Request &Call, Response &Reply);
  void patchConfiguration(const std::string &Who, const Request &Call, Response &Reply);
  void getAudit(const std::string &Who, const Request &Call, Response &Reply);
  void getStatus(const std::string &Who, const Request &Call, Response &Reply);
  void getDifference(const std::string &Who, const Request &Call, Response &Reply);
  void drain(const std::string &Who, const Request &Call, Response &Reply);

  void replyOutcome(const configuration::ChangeOutcome &Outcome, Response &Reply) const;

  std::string EntryVm_;
  std::string DataCentre_;
  ConfigurationUpdater &Updater_;
  const PeerNetwork *Peers_ = nullptr;
  const KeyTable &Keys_;
  configuration::VersionStore Versions_;
  std::function<void()> Drain_;
};

} // namespace cornellift::entry
