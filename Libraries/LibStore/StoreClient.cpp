#include "Libraries/LibStore/StoreClient.h"

#include "Libraries/LibCore/Log.h"

#include <iterator>
#include <utility>

namespace cornellift::store {
namespace {

/// Connections for watches and for calls at the same time. A call that hangs occupies its
/// connection until its deadline.
constexpr std::size_t Connections = 8;
/// Timeout of all calls but watches.
constexpr core::Duration CallTimeout = std::chrono::milliseconds(1500);
/// How much longer than the requested time a watch without events may take.
constexpr core::Duration WatchSlack = std::chrono::milliseconds(1000);
/// Timeout of a reply that is still arriving, beyond the timeout for its beginning. A large
/// document takes some seconds on a link that is full of callers' data.
constexpr core::Duration TransferTimeout = std::chrono::seconds(6);

} // namespace

StoreClient::StoreClient(asio::io_context &Reactor, const reactor::Tcp::endpoint &Address,
                         const platform::StoreFormat &Format)
    : Format_(Format),
      Client_(std::make_shared<reactor::HttpClient>(Reactor, Address, Connections)),
      LastAnsweredAt_(core::MonotonicClock::now()) {}

reactor::CallDeadline StoreClient::deadlineAfter(core::Duration Timeout) {
  auto First = core::MonotonicClock::now() + Timeout;
  return {First, First + TransferTimeout};
}

template <typename Value> void StoreClient::recordReply(const StoreReply<Value> &Reply) {
  auto Now = core::MonotonicClock::now();
  bool IsFailed = !Reply.Content && (Reply.Failure == StoreFailure::Unreachable ||
                                     Reply.Failure == StoreFailure::Refused);
  bool WasUnavailable = std::exchange(IsUnavailable_, IsFailed);
  if (!IsFailed) {
    if (WasUnavailable)
      core::logLine(
          core::LogLevel::Information, "store", "the store answers again",
          {{"unanswered_ms", std::to_string(core::toMilliseconds(Now - LastAnsweredAt_))}});
    LastAnsweredAt_ = Now;
    return;
  }
  if (!WasUnavailable)
    core::logLine(core::LogLevel::Warning, "store", "the store does not answer",
                  {{"answered_ms_ago", std::to_string(core::toMilliseconds(Now - LastAnsweredAt_))},
                   {"reason", Reply.Cause}});
  LastFailedAt_ = Now;
  ++Counters_.Failures;
}

void StoreClient::range(std::string Prefix, std::size_t MaximumValueBytes,
                        Handler<StorePage> OnReply) {
  nextPage(std::move(Prefix), MaximumValueBytes, std::make_shared<StorePage>(), {},
           std::move(OnReply));
}

void StoreClient::nextPage(std::string Prefix, std::size_t MaximumValueBytes,
                           const std::shared_ptr<StorePage> &Gathered, std::string_view AfterKey,
                           Handler<StorePage> OnReply) {
  ++Counters_.Ranges;
  auto Request = Format_.rangeRequest(Prefix, AfterKey);
  Client_->call(
      std::move(Request), deadlineAfter(CallTimeout),
      [Self = shared_from_this(), Prefix, MaximumValueBytes, Gathered,
       After = std::string(AfterKey),
       OnReply = std::move(OnReply)](const reactor::HttpResult &Result) mutable {
        auto Reply = Self->Format_.parsePage(Result, MaximumValueBytes);
        Self->recordReply(Reply);
        if (!Reply.Content)
          return OnReply(std::move(Reply));
        bool GoesOn = !Reply.Content->Items.empty() && Reply.Content->Items.back().Key != After;
        if (Reply.Content->HasMore && !GoesOn)
          return OnReply({std::nullopt, StoreFailure::Malformed,
                          "a page names no further keys but is not the last one"});
        if (Gathered->Items.empty())
          Gathered->Revision = Reply.Content->Revision;
        Gathered->ReplyBytes += Reply.Content->ReplyBytes;
        std::move(Reply.Content->Items.begin(), Reply.Content->Items.end(),
                  std::back_inserter(Gathered->Items));
        if (!Reply.Content->HasMore)
          return OnReply({std::move(*Gathered), {}, {}});
        auto Last = Gathered->Items.back().Key;
        Self->nextPage(std::move(Prefix), MaximumValueBytes, Gathered, Last, std::move(OnReply));
      });
}

void StoreClient::watch(std::string_view Prefix, std::uint64_t AfterRevision, core::Duration Wait,
                        std::size_t MaximumValueBytes, Handler<StoreEvents> OnReply) {
  ++Counters_.Watches;
  auto Milliseconds = static_cast<std::uint32_t>(core::toMilliseconds(Wait));
  Client_->call(Format_.watchRequest(Prefix, AfterRevision, Milliseconds),
                deadlineAfter(Wait + WatchSlack),
                [Self = shared_from_this(), MaximumValueBytes,
                 OnReply = std::move(OnReply)](const reactor::HttpResult &Result) {
                  auto Reply = Self->Format_.parseEvents(Result, MaximumValueBytes);
                  Self->recordReply(Reply);
                  OnReply(std::move(Reply));
                });
}

void StoreClient::write(const StoreWrite &Write, Handler<std::uint64_t> OnReply) {
  ++Counters_.Writes;
  Client_->call(
      Format_.writeRequest(Write), deadlineAfter(CallTimeout),
      [Self = shared_from_this(), OnReply = std::move(OnReply)](const reactor::HttpResult &Result) {
        auto Reply = Self->Format_.parseWriteReply(Result);
        Self->recordReply(Reply);
        OnReply(std::move(Reply));
      });
}

void StoreClient::openLease(core::Duration Time, Handler<std::uint64_t> OnReply) {
  ++Counters_.Leases;
  auto Milliseconds = static_cast<std::uint32_t>(core::toMilliseconds(Time));
  Client_->call(
      Format_.leaseRequest(Milliseconds), deadlineAfter(CallTimeout),
      [Self = shared_from_this(), OnReply = std::move(OnReply)](const reactor::HttpResult &Result) {
        auto Reply = Self->Format_.parseLease(Result);
        Self->recordReply(Reply);
        OnReply(std::move(Reply));
      });
}

void StoreClient::renewLease(std::uint64_t Lease, Handler<std::uint64_t> OnReply) {
  ++Counters_.Renewals;
  Client_->call(
      Format_.renewLeaseRequest(Lease), deadlineAfter(CallTimeout),
      [Self = shared_from_this(), OnReply = std::move(OnReply)](const reactor::HttpResult &Result) {
        auto Reply = Self->Format_.parseLeaseUpdate(Result);
        Self->recordReply(Reply);
        OnReply(std::move(Reply));
      });
}

void StoreClient::endLease(std::uint64_t Lease) {
  ++Counters_.Leases;
  // The reply is ignored: the lease expires if it is not renewed.
  Client_->call(Format_.revokeLeaseRequest(Lease), deadlineAfter(CallTimeout),
                [](const reactor::HttpResult &) {});
}

} // namespace cornellift::store
