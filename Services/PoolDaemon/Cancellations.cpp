#include "Services/PoolDaemon/Cancellations.h"

#include <iterator>
#include <utility>

namespace cornellift::pool {
namespace {

/// How long a request waits for the other processes. A process that does not reply within this time
/// is about to be declared lost.
constexpr core::Duration ReplyTimeout = std::chrono::seconds(1);
/// A process that is lost is replaced within about a second.
constexpr char RetryAfterSeconds[] = "1";
constexpr unsigned StatusCancelled = 200;
constexpr unsigned StatusAccepted = 202; ///< A process that may have the job is yet to be told.
constexpr unsigned StatusNoSuchJob = 410;
constexpr unsigned StatusUnknown = 503;

} // namespace

Cancellations::Cancellations(kernel::DecisionLog &Log, Sender Send, ProcessList Processes)
    : Log_(Log), Send_(std::move(Send)), Processes_(std::move(Processes)) {}

void Cancellations::announce(kernel::JobKey Key) {
  for (auto Process : Processes_().Indexes)
    Send_(Process, kernel::CancelJob{Key});
}

void Cancellations::announceAndReply(kernel::JobKey Key,
                                     const std::shared_ptr<reactor::HttpExchange> &Request,
                                     bool IsManagerKnown, core::TimePoint Now) {
  auto [Entry, IsNew] = Pending_.try_emplace(Key);
  auto &Added = Entry->second;
  Added.Requests.push_back(Request);
  if (!IsNew)
    return;
  auto Processes = Processes_();
  Added.Awaited.insert(Processes.Indexes.begin(), Processes.Indexes.end());
  Added.IsManagerKnown = IsManagerKnown;
  Added.AreAllReached = Processes.AreAll;
  Added.Deadline = Now + ReplyTimeout;
  for (auto Process : Processes.Indexes)
    Send_(Process, kernel::CancelJob{Key});
}

void Cancellations::replied(kernel::PeerIndex From, const kernel::CancelReply &Reply) {
  auto Entry = Pending_.find(Reply.Job);
  if (Entry == Pending_.end() || Entry->second.Awaited.erase(From) == 0)
    return;
  if (Reply.WasOpen)
    finish(Entry, StatusCancelled);
  else
    finishIfComplete(Entry);
}

void Cancellations::peerLost(kernel::PeerIndex Peer) {
  for (auto Entry = Pending_.begin(); Entry != Pending_.end();) {
    if (Entry->second.Awaited.erase(Peer) > 0)
      Entry->second.AreAllReached = false;
    Entry = finishIfComplete(Entry);
  }
}

void Cancellations::tick(core::TimePoint Now) {
  for (auto Entry = Pending_.begin(); Entry != Pending_.end();)
    Entry = Now >= Entry->second.Deadline ? finish(Entry, StatusUnknown) : std::next(Entry);
}

void Cancellations::giveUpAll() {
  for (auto Entry = Pending_.begin(); Entry != Pending_.end();)
    Entry = finish(Entry, StatusUnknown);
}

Cancellations::PendingByJob::iterator
Cancellations::finishIfComplete(PendingByJob::iterator Entry) {
  if (!Entry->second.Awaited.empty())
    return std::next(Entry);
  if (!Entry->second.IsManagerKnown)
    return finish(Entry, StatusUnknown);
  return finish(Entry, Entry->second.AreAllReached ? StatusNoSuchJob : StatusAccepted);
}

Cancellations::PendingByJob::iterator Cancellations::finish(PendingByJob::iterator Entry,
                                                            unsigned Status) {
  Log_.line(Status == StatusUnknown ? kernel::DecisionPriority::Notable
                                    : kernel::DecisionPriority::Routine,
            "cancelling answered", Entry->first,
            {{"status", static_cast<std::int64_t>(Status)},
             {"not_replied", static_cast<std::int64_t>(Entry->second.Awaited.size())}});
  reactor::HttpReply Reply{Status, {}, {}};
  if (Status == StatusUnknown)
    Reply.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  auto Requests = std::move(Entry->second.Requests);
  auto Next = Pending_.erase(Entry);
  for (const auto &Each : Requests)
    Each->reply(Reply);
  return Next;
}

} // namespace cornellift::pool
