#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibReactor/HttpExchange.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace cornellift::pool {

/// This process and those to which a link is up.
struct ReachableProcesses {
  std::vector<kernel::PeerIndex> Indexes;
  bool AreAll = true; ///< Each process that may have jobs is among them.
};

/// Callers' requests to cancel jobs. A request may arrive at another entry process than the one
/// that awaits the job, so that all reachable ones are asked. It is answered with 200 as soon as
/// one of them had the job open, with 410 when each has replied that it had not, and with 503 when
/// that is not known in time. If a process is out of reach, the answer is 202: it is told when its
/// link is up again.
class Cancellations {
public:
  using Sender = std::function<void(kernel::PeerIndex, kernel::PoolMessage)>;
  using ProcessList = std::function<ReachableProcesses()>;

  Cancellations(kernel::DecisionLog &Log, Sender Send, ProcessList Processes);

  /// Tells all processes that a job is cancelled, so that they do not start a late copy of it.
  void announce(kernel::JobKey Key);

  /// The same, and answers the request when it is known whether the job was open. Without a manager
  /// the job may be open at a process that is not connected, so that no request gets a 410.
  void announceAndReply(kernel::JobKey Key, const std::shared_ptr<reactor::HttpExchange> &Request,
                        bool IsManagerKnown, core::TimePoint Now);

  void replied(kernel::PeerIndex From, const kernel::CancelReply &Reply);
  void peerLost(kernel::PeerIndex Peer);
  void tick(core::TimePoint Now);
  /// Answers all requests whose outcome is not known yet with 503.
  void giveUpAll();

private:
  struct Pending {
    std::vector<std::shared_ptr<reactor::HttpExchange>> Requests;
    std::set<kernel::PeerIndex> Awaited; ///< Processes that have not replied.
    bool IsManagerKnown = true;
    bool AreAllReached = true; ///< No process is out of reach, or was lost meanwhile.
    core::TimePoint Deadline;
  };
  using PendingByJob = std::unordered_map<kernel::JobKey, Pending>;

  PendingByJob::iterator finish(PendingByJob::iterator Entry, unsigned Status);
  PendingByJob::iterator finishIfComplete(PendingByJob::iterator Entry);

  kernel::DecisionLog &Log_;
  Sender Send_;
  ProcessList Processes_;
  PendingByJob Pending_;
};

} // namespace cornellift::pool
