#include "Services/EntryDaemon/OperatorApi.h"

#include "Libraries/LibConfiguration/MergePatch.h"
#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/CallerMessages.h"
#include "Services/EntryDaemon/PolicyCheck.h"
#include "Services/EntryDaemon/StatusReport.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

namespace cornellift::entry {
namespace {

using core::ErrorKind;
using core::LogLevel;
using nlohmann::json;

constexpr auto JsonType = "application/json";

/// Allows for a slow store: a patch makes three writes and several reads.
constexpr auto StoreTimeout = std::chrono::seconds(10);

/// Limits the audit records in one reply, because each one is a read from the store.
constexpr std::uint64_t MaximumRecords = 100;
constexpr std::uint64_t DefaultRecords = 20;

constexpr std::size_t MaximumDrainBytes = 1024;

/// HTTP status of a patch whose outcome is unknown. With 5xx, some clients would repeat the request
/// automatically.
constexpr int StatusOutcomeUnknown = 202;

core::TimePoint storeDeadline() { return core::MonotonicClock::now() + StoreTimeout; }

void replyJson(OperatorApi::Response &Reply, int Status, const json &Body) {
  Reply.status = Status;
  Reply.set_content(Body.dump(-1, ' ', false, json::error_handler_t::replace), JsonType);
}

void replyReason(OperatorApi::Response &Reply, const core::Reason &Why) {
  replyJson(Reply, static_cast<int>(httpStatus(Why.Kind)),
            {{"kind", core::toString(Why.Kind)}, {"message", Why.Message}});
}

std::optional<std::uint64_t> versionParameter(const OperatorApi::Request &Call, const char *Name,
                                              std::uint64_t Default) {
  if (!Call.has_param(Name))
    return Default;
  auto Text = Call.get_param_value(Name);
  std::uint64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() || Value == 0)
    return core::fail(ErrorKind::Malformed,
                      std::string("\"") + Name + "\" must be the number of a version");
  return Value;
}

std::string_view nameOf(const configuration::ChangeOutcome &Outcome) {
  if (std::holds_alternative<configuration::Applied>(Outcome))
    return "applied";
  return std::holds_alternative<configuration::Rejected>(Outcome) ? "not_applied"
                                                                  : "may_have_been_applied";
}

void auditPatch(const configuration::ChangeRequest &Change,
                const configuration::ChangeOutcome &Outcome) {
  core::logLine(LogLevel::Information, "audit", "patch",
                {{"who", Change.Who},
                 {"patch_id", Change.PatchId},
                 {"base_version", std::to_string(Change.BaseVersion)},
                 {"why", Change.Why},
                 {"outcome", std::string(nameOf(Outcome))}});
}

} // namespace

OperatorApi::OperatorApi(std::string EntryVm, std::string DataCentre,
                         platform::PlatformStore &Store, ConfigurationUpdater &Updater,
                         const KeyTable &OperatorKeys, std::function<void()> Drain)
    : EntryVm_(std::move(EntryVm)), DataCentre_(std::move(DataCentre)), Updater_(Updater),
      Keys_(OperatorKeys), Versions_(Store, namesKnownPolicies), Drain_(std::move(Drain)) {}

void OperatorApi::addRoutes(http::HttpServer &Server) {
  addRoute(Server, "GET", "/v1/configuration", &OperatorApi::getConfiguration);
  addRoute(Server, "PATCH", "/v1/configuration", &OperatorApi::patchConfiguration);
  addRoute(Server, "GET", "/v1/audit", &OperatorApi::getAudit);
  addRoute(Server, "GET", "/v1/status", &OperatorApi::getStatus);
  addRoute(Server, "GET", "/v1/diff", &OperatorApi::getDifference);
  addRoute(Server, "POST", "/v1/drain", &OperatorApi::drain);
}

void OperatorApi::addRoute(http::HttpServer &Server, std::string_view Method, std::string_view Path,
                           Handler Handle) {
  Server.route(Method, Path, [this, Handle](const Request &Call, Response &Reply) {
    if (auto Who = authenticate(Call, Reply))
      (this->*Handle)(*Who, Call, Reply);
  });
}

std::optional<std::string> OperatorApi::authenticate(const Request &Call, Response &Reply) const {
  auto Who = Keys_.nameOf(Call.get_header_value("X-Cornellift-Key"));
  if (Who)
    return Who;
  core::logLine(
      LogLevel::Warning, "audit", "operator key refused",
      {{"address", Call.remote_addr}, {"method", Call.method}, {"path", Call.path.substr(0, 200)}});
  replyJson(Reply, 401,
            {{"outcome", "not_applied"},
             {"kind", core::toString(ErrorKind::Unauthorized)},
             {"message", "the key is missing or unknown; send an operator's key as "
                         "X-Cornellift-Key"}});
  return std::nullopt;
}

void OperatorApi::getConfiguration(const std::string &, const Request &, Response &Reply) {
  auto Text = Updater_.headText();
  if (Text.empty())
    return replyReason(Reply, {ErrorKind::Unavailable,
                               "this process has no configuration yet; retry later, or create "
                               "the first one with cornellift-operator seed"});
  Reply.set_content(Text, JsonType);
}

void OperatorApi::patchConfiguration(const std::string &Who, const Request &Call, Response &Reply) {
  auto Change = configuration::ChangeRequest::parse(Call.body, Who);
  if (!Change) {
    auto Why = core::lastReason();
    core::logLine(LogLevel::Warning, "audit", "patch refused",
                  {{"who", Who}, {"reason", Why.Message}});
    return replyOutcome(configuration::Rejected{Updater_.version(), Why}, Reply);
  }
  auto Outcome = Versions_.apply(*Change, storeDeadline());
  auditPatch(*Change, Outcome);
  if (std::holds_alternative<configuration::Applied>(Outcome))
    Updater_.refresh(storeDeadline());
  replyOutcome(Outcome, Reply);
}

void OperatorApi::replyOutcome(const configuration::ChangeOutcome &Outcome, Response &Reply) const {
  json Body = {{"outcome", nameOf(Outcome)}};
  if (const auto *Made = std::get_if<configuration::Applied>(&Outcome)) {
    Body["version"] = Made->Version;
    return replyJson(Reply, 200, Body);
  }
  const auto *Refusal = std::get_if<configuration::Rejected>(&Outcome);
  const auto &Why =
      Refusal ? Refusal->Why : std::get<configuration::MayHaveBeenApplied>(Outcome).Why;
  Body["kind"] = core::toString(Why.Kind);
  Body["message"] = Refusal ? "not applied: " + Why.Message : Why.Message;
  if (Refusal)
    Body["version_in_force"] = Refusal->VersionInForce;
  replyJson(Reply, Refusal ? static_cast<int>(httpStatus(Why.Kind)) : StatusOutcomeUnknown, Body);
}

void OperatorApi::getAudit(const std::string &, const Request &Call, Response &Reply) {
  auto InForce = Updater_.version();
  auto Last = versionParameter(Call, "to", InForce);
  auto First =
      Last ? versionParameter(Call, "from", *Last > DefaultRecords ? *Last - DefaultRecords + 1 : 1)
           : std::nullopt;
  if (!First)
    return replyReason(Reply, core::lastReason());
  if (*First > *Last || *Last - *First >= MaximumRecords)
    return replyReason(Reply,
                       {ErrorKind::Malformed, "request 1 to " + std::to_string(MaximumRecords) +
                                                  " versions, the lowest as \"from\""});
  json Records = json::array();
  auto Deadline = storeDeadline();
  for (auto Version = *First; Version <= *Last; ++Version) {
    auto Record = Versions_.readChange(Version, Deadline);
    if (!Record && core::lastReason().Kind != ErrorKind::NotFound)
      return replyReason(Reply, core::lastReason());
    if (Record)
      Records.push_back(toJson(*Record));
  }
  replyJson(Reply, 200, {{"version_in_force", InForce}, {"records", std::move(Records)}});
}

void OperatorApi::getStatus(const std::string &, const Request &, Response &Reply) {
  auto Status = statusReport(DataCentre_, Peers_->members());
  Status["entry_vm"] = EntryVm_;
  Status["data_centre"] = DataCentre_;
  Status["version"] = Updater_.version();
  Status["ready"] = Updater_.isReady();
  Status["relay"] = Peers_->isRelay();
  Status["store_reachable"] = Updater_.isStoreReachable();
  replyJson(Reply, 200, Status);
}

void OperatorApi::getDifference(const std::string &, const Request &Call, Response &Reply) {
  auto To = versionParameter(Call, "to", Updater_.version());
  auto From = To ? versionParameter(Call, "from", *To > 1 ? *To - 1 : 1) : std::nullopt;
  auto Deadline = storeDeadline();
  auto Before = From ? Versions_.documentAt(*From, Deadline) : std::nullopt;
  auto After = Before ? Versions_.documentAt(*To, Deadline) : std::nullopt;
  if (!After)
    return replyReason(Reply, core::lastReason());
  replyJson(Reply, 200,
            {{"from", *From},
             {"to", *To},
             {"patch", configuration::mergeDifference(*Before, *After)},
             {"inverse", configuration::mergeDifference(*After, *Before)}});
}

void OperatorApi::drain(const std::string &Who, const Request &Call, Response &Reply) {
  auto Body = configuration::parseStrictJson(Call.body, MaximumDrainBytes);
  // Requires the name, because a load balancer may have sent the request to another VM.
  if (!Body || *Body != json{{"entry_vm", EntryVm_}})
    return replyReason(Reply,
                       {ErrorKind::Malformed,
                        "this is entry VM \"" + EntryVm_ +
                            "\"; to drain it, send its name as entry_vm to its own address"});
  core::logLine(LogLevel::Information, "audit", "drain", {{"who", Who}, {"vm", EntryVm_}});
  Drain_();
  replyJson(Reply, 200, {{"outcome", "draining"}, {"entry_vm", EntryVm_}});
}

} // namespace cornellift::entry
