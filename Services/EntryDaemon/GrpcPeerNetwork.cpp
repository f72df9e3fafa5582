#include "Services/EntryDaemon/GrpcPeerNetwork.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPeer/MembershipCoding.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration FetchTimeout = std::chrono::seconds(2);
constexpr core::Duration StatusTimeout = std::chrono::milliseconds(500);
/// The longest time that a caller may wait for its response. A connection that goes silent in the
/// meantime is detected by keep-alive.
constexpr core::Duration ForwardTimeout = std::chrono::minutes(10);
/// Bound on the calls for one request: successions that it follows and retries, together.
constexpr int MaximumHops = 4;
/// Bound on the retries of one request after a lost or silent connection.
constexpr int MaximumRetries = 2;

/// Calls all addresses concurrently and waits for the replies; failed calls are left out.
template <typename Request, typename Reply>
std::vector<Reply> callAll(peer::PeerClient &Client, const std::vector<std::string> &Addresses,
                           peer::PeerClient::Method<Request, Reply> Call, const Request &Content,
                           core::TimePoint Deadline) {
  struct PendingReplies {
    std::mutex Mutex;
    std::condition_variable Done;
    std::size_t Left = 0;
    std::vector<Reply> Replies;
  };
  auto Shared = std::make_shared<PendingReplies>();
  Shared->Left = Addresses.size();
  for (const auto &Address : Addresses)
    Client.start<Request, Reply>(Address, Call, Content, Deadline, [Shared](auto Result) {
      std::lock_guard Guard(Shared->Mutex);
      if (Result.Content)
        Shared->Replies.push_back(std::move(*Result.Content));
      --Shared->Left;
      Shared->Done.notify_one();
    });
  std::unique_lock Lock(Shared->Mutex);
  Shared->Done.wait(Lock, [&] { return Shared->Left == 0; });
  return std::move(Shared->Replies);
}

PeerNetwork::Fetched decodeFetched(std::uint64_t HaveVersion, PeerNetwork::Form Wanted,
                                   peer::FetchConfigurationReply Reply) {
  if (Wanted == PeerNetwork::Form::Whole || Reply.changes().empty())
    return std::move(*Reply.mutable_head());
  return configuration::HeadDelta{HaveVersion,
                                  Reply.version(),
                                  {Reply.changes().begin(), Reply.changes().end()},
                                  Reply.digest()};
}

MemberState stateOf(const kernel::Membership &View, const kernel::MemberRecord &Record) {
  if (View.isUnreachable(Record.DataCentre))
    return MemberState::Unreachable;
  if (Record.Standing == kernel::MemberStanding::Dead)
    return MemberState::Dead;
  if (Record.Standing == kernel::MemberStanding::Stopping)
    return MemberState::Stopping;
  return MemberState::Alive;
}

} // namespace

bool GrpcPeerNetwork::isRelay() const {
  return Members_.read([](const auto &View) { return View.isRelay(); });
}

void GrpcPeerNetwork::announceVersion(std::uint64_t Version, Reach Range) {
  Members_.change(
      [&](auto &View, auto Now, auto &Out) { View.announceVersion(Version, Range, Now, Out); });
}

std::optional<PeerNetwork::Fetched> GrpcPeerNetwork::fetchConfiguration(std::uint64_t HaveVersion,
                                                                        Form Wanted) {
  std::vector<std::string> Addresses;
  std::string Best;
  Members_.read([&](const kernel::Membership &View) {
    std::uint64_t BestVersion = HaveVersion;
    for (const auto &[Name, Record] : View.table().members()) {
      if (Name == View.own().EntryVm || Record.Standing == kernel::MemberStanding::Dead)
        continue;
      Addresses.push_back(Record.Address);
      auto Load = View.loadOf(Record.Process);
      if (!Load || Load->ConfigurationVersion <= BestVersion)
        continue;
      BestVersion = Load->ConfigurationVersion;
      Best = Record.Address;
    }
    return 0;
  });
  peer::FetchConfigurationRequest Request;
  Request.set_have_version(HaveVersion);
  Request.set_takes_changes(Wanted == Form::WholeOrChanges);
  auto Deadline = MonotonicClock::now() + FetchTimeout;
  // The document is large, so the peer known to have the newest version is called first, alone.
  if (!Best.empty()) {
    auto Result = Client_.call<peer::FetchConfigurationRequest, peer::FetchConfigurationReply>(
        Best, &peer::Peer::Stub::async::FetchConfiguration, Request, Deadline);
    if (Result.Content && Result.Content->version() > HaveVersion)
      return decodeFetched(HaveVersion, Wanted, std::move(*Result.Content));
  }
  auto Replies = callAll<peer::FetchConfigurationRequest, peer::FetchConfigurationReply>(
      Client_, Addresses, &peer::Peer::Stub::async::FetchConfiguration, Request, Deadline);
  if (Replies.empty())
    return core::fail(core::ErrorKind::Unavailable, "no peer replied; retry when one is up");
  auto Newest = std::max_element(Replies.begin(), Replies.end(), [](auto &Left, auto &Right) {
    return Left.version() < Right.version();
  });
  bool IsEmpty = Newest->head().empty() && Newest->changes().empty();
  if (Newest->version() <= HaveVersion || IsEmpty)
    return core::fail(core::ErrorKind::NotFound, "no peer has a newer configuration");
  return decodeFetched(HaveVersion, Wanted, std::move(*Newest));
}

std::vector<MemberStatus> GrpcPeerNetwork::members() const {
  std::vector<MemberStatus> Result;
  Members_.read([&](const kernel::Membership &View) {
    for (const auto &[Name, Record] : View.table().members()) {
      auto Load = View.loadOf(Record.Process);
      Result.push_back({Name, Record.DataCentre, Record.Process, stateOf(View, Record),
                        Load ? Load->ConfigurationVersion : 0});
    }
    return 0;
  });
  addRemoteVersions(Result);
  return Result;
}

void GrpcPeerNetwork::addRemoteVersions(std::vector<MemberStatus> &Members) const {
  auto Addresses = Members_.read([](const kernel::Membership &View) {
    std::map<std::string, std::string> ByDataCentre;
    for (const auto &[Name, Record] : View.table().members())
      if (Record.DataCentre != View.own().DataCentre &&
          Record.Standing == kernel::MemberStanding::Ready)
        ByDataCentre.emplace(Record.DataCentre, Record.Address);
    std::vector<std::string> Result;
    Result.reserve(ByDataCentre.size());
    for (auto &[DataCentre, Address] : ByDataCentre)
      Result.push_back(Address);
    return Result;
  });
  auto Replies = callAll<peer::StatusRequest, peer::StatusReply>(
      Client_, Addresses, &peer::Peer::Stub::async::Status, {},
      MonotonicClock::now() + StatusTimeout);
  for (const auto &Reply : Replies)
    for (const auto &Entry : Reply.members())
      for (auto &Member : Members)
        if (Member.EntryVm == Entry.entry_vm() && Member.Incarnation.Value == Entry.incarnation())
          Member.ConfigurationVersion = Entry.configuration_version();
}

GrpcPeerNetwork::Owner GrpcPeerNetwork::findOwner(std::string_view EntryVm,
                                                  kernel::Incarnation Issuer) const {
  return Members_.read([&](const kernel::Membership &View) -> Owner {
    std::string Vm(EntryVm);
    auto Process = Issuer;
    if (auto Succession = View.table().successor(Issuer)) {
      Vm = Succession->SuccessorVm;
      Process = Succession->To;
    }
    const auto *Record = View.table().find(Vm);
    bool IsOwnName = Vm == View.own().EntryVm;
    if (IsOwnName || !Record)
      return {};
    bool IsMarkedDead =
        Record->Process == Process && Record->Standing == kernel::MemberStanding::Dead;
    return {Record->Address, Process,
            IsMarkedDead ? Owner::Liveness::Dead : Owner::Liveness::Alive};
  });
}

/// Checks an owner that is marked dead: a silent connection on a busy machine may have been taken
/// for the death of its VM. The outcome would then be recovered from the endpoints' records
/// although the owner knows more.
bool GrpcPeerNetwork::isReachable(const Owner &Target) const {
  return Client_
      .call<peer::StatusRequest, peer::StatusReply>(Target.Address,
                                                    &peer::Peer::Stub::async::Status, {},
                                                    MonotonicClock::now() + StatusTimeout)
      .Content.has_value();
}

std::optional<ForwardedResponse> GrpcPeerNetwork::forward(std::string_view EntryVm,
                                                          kernel::Incarnation Issuer,
                                                          const ForwardedRequest &Request,
                                                          ForwardFailure &Failure) {
  peer::ForwardRequest Message;
  Message.set_method(Request.Method);
  Message.set_path(Request.Path);
  Message.set_team(Request.Team);
  Message.set_body(Request.Body);
  Message.set_incarnation(Issuer.Value);
  int Retries = 0;
  for (int Hop = 0; Hop < MaximumHops; ++Hop) {
    auto Target = findOwner(EntryVm, Issuer);
    Failure = ForwardFailure::IssuerDead;
    if (Target.Address.empty() || (Target.State == Owner::Liveness::Dead && !isReachable(Target)))
      return std::nullopt;
    auto Result = Client_.call<peer::ForwardRequest, peer::ForwardReply>(
        Target.Address, &peer::Peer::Stub::async::Forward, Message,
        MonotonicClock::now() + ForwardTimeout);
    Failure = ForwardFailure::Unreachable;
    // The owner recognizes a repeated request by the job's identifier, so a retry is safe.
    if (!Result.Content && Result.Failure == peer::CallFailure::Lost && Retries++ < MaximumRetries)
      continue;
    if (!Result.Content)
      return std::nullopt;
    if (!Result.Content->not_owned())
      return ForwardedResponse{Result.Content->status(), Result.Content->body()};
    bool Replaced = Result.Content->receiver_incarnation() != Target.Process.Value;
    if (!Result.Content->has_succession()) {
      // The VM replied with another incarnation, so the requested one has ended.
      if (Replaced)
        Failure = ForwardFailure::IssuerDead;
      return std::nullopt;
    }
    Members_.announced(
        {.Origin = "",
         .Successions = {peer::decode(Result.Content->succession(), MonotonicClock::now())}});
  }
  return std::nullopt;
}

} // namespace cornellift::entry
