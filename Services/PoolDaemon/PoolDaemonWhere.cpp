// The operators' question where a request would go now.
#include "Services/PoolDaemon/PlacementReport.h"
#include "Services/PoolDaemon/PoolDaemon.h"

#include <charconv>

namespace cornellift::pool {
namespace {

/// The caller's path follows.
constexpr std::string_view WherePrefix = "/where/";

constexpr double LongestWaitMilliseconds = 3600000;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusMethodNotAllowed = 405;
/// Another VM is to be asked.
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusUnavailable = 503;

/// Value of a parameter of the query, which is not decoded; empty if it is absent.
std::string_view parameter(std::string_view Target, std::string_view Name) {
  auto Begin = Target.find('?');
  while (Begin != std::string_view::npos) {
    auto Rest = Target.substr(Begin + 1);
    auto End = Rest.find('&');
    auto Pair = Rest.substr(0, End);
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('='))
      return Pair.substr(Name.size() + 1);
    Begin = End == std::string_view::npos ? End : Begin + 1 + End;
  }
  return {};
}

std::optional<double> parseWait(std::string_view Text) {
  double Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool IsWhole = Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
  if (!IsWhole || !(Value >= 0 && Value <= LongestWaitMilliseconds))
    return std::nullopt;
  return Value;
}

} // namespace

bool PoolDaemon::isWhereQuestion(std::string_view Target) {
  return Target.starts_with(WherePrefix);
}

void PoolDaemon::serveWhere(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  auto Fail = [&](unsigned Status, std::string_view Message, std::string_view Manager = {}) {
    Exchange->reply({Status, renderPlacementFailure(Message, Manager), {}});
  };
  if (Exchange->method() != reactor::HttpMethod::Post)
    return Fail(StatusMethodNotAllowed, "POST the job as a caller would");
  auto Target = Exchange->target();
  auto Wait = parameter(Target, "wait_ms");
  if (!Wait.empty() && !parseWait(Wait))
    return Fail(StatusBadRequest, "wait_ms is no number from 0 to 3600000; give milliseconds");
  AskedRequest Asked{parameter(Target, "host"), Target.substr(WherePrefix.size() - 1),
                     Exchange->body(), parseWait(Wait), Exchange->receivedAt()};
  auto Found = Ingress_.askedJob(Asked);
  if (!Found.Submission)
    return Fail(Found.Status, Found.Why);
  auto Manager = parameter(Target, "manager");
  bool IsManager = Manager.empty() ? AssignedManager_ == kernel::SelfPeer
                                   : Manager == Settings_.VmName && !Election_.managed().empty();
  if (!IsManager && !AssignedManager_)
    return Fail(StatusUnavailable, "no manager is known here: requests wait 300 ms for one and are "
                                   "refused then; ask another VM, or again later");
  if (!IsManager) {
    auto Name = vmName(*AssignedManager_);
    return Fail(StatusMisdirected,
                "requests at " + Settings_.VmName + " go to the manager " + Name + "; ask that VM",
                Name);
  }
  const auto &Policy = Found.Submission->Policy;
  PlacementReportContext Context{Settings_.VmName, Policy.Route, Policy.Service,
                                 Configuration_.version(),
                                 [this](kernel::PeerIndex Peer) { return vmName(Peer); }};
  auto Explained = Manager_.explainPlacement(Found.Submission, core::MonotonicClock::now());
  Exchange->reply({StatusOk, renderPlacement(Context, Explained), {}});
}

std::string PoolDaemon::vmName(kernel::PeerIndex Peer) const {
  if (Peer == kernel::SelfPeer)
    return Settings_.VmName;
  for (const auto *Known : Mesh_.knownPeers())
    if (Known->Index == Peer)
      return Known->vm();
  return "unknown";
}

} // namespace cornellift::pool
