#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolConfiguration.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibPlatform/CallerFormat.h"
#include "Libraries/LibReactor/HttpExchange.h"
#include "Libraries/LibReactor/RequestParser.h"
#include "Services/PoolDaemon/Cancellations.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornellift::pool {

/// A caller's request of which an operator asks where its job would go.
struct AskedRequest {
  std::string_view Host;
  std::string_view Target;
  std::string_view Body;
  std::optional<double>
      WaitMilliseconds; ///< How long the caller waits; as its route says if empty.
  core::TimePoint ReceivedAt;
};

/// The job that such a request would submit, or why it would be refused.
struct AskedJob {
  std::shared_ptr<const kernel::JobSubmission> Submission; ///< Null if it would be refused.
  unsigned Status = 0;
  std::string Why; ///< With a remedy.
};

/// Accepts callers' requests, submits their jobs to the manager of a pool and returns its answers.
/// Each request gets exactly one reply: when the job ends, or as soon as it is known that the job
/// cannot be completed or that its manager is lost.
class Ingress {
public:
  using Sender = std::function<void(kernel::PeerIndex, kernel::PoolMessage)>;

  Ingress(const platform::CallerFormat &Format, kernel::DecisionLog &Log,
          core::MetricsRegistry &Metrics, Sender Send, Cancellations::ProcessList Processes);

  void setConfiguration(std::shared_ptr<const kernel::PoolConfiguration> Configuration);

  /// Sets the manager that new jobs are submitted to; empty if there is none.
  void setAssignedManager(std::optional<kernel::PeerIndex> Manager, core::TimePoint Now);

  void handle(const std::shared_ptr<reactor::HttpExchange> &Exchange);
  /// Returns whether a request with that header may hand in a job; other bodies are of no use.
  bool takesBody(const reactor::ReceivedRequest &Request) const;
  /// The job of a request that is only asked about; nothing is counted, logged or kept.
  AskedJob askedJob(const AskedRequest &Asked) const;
  void answered(const kernel::PoolAnswer &Answer, core::TimePoint Now);
  /// Cancels the job if a caller awaits it here; returns whether that is so.
  bool cancelOpenJob(kernel::JobKey Key, core::TimePoint Now);
  void cancelReplied(kernel::PeerIndex From, const kernel::CancelReply &Reply) {
    Cancellations_.replied(From, Reply);
  }
  void peerLost(kernel::PeerIndex Peer, core::TimePoint Now);

  /// Sets the number of jobs that wait at a manager, by route.
  void setBacklog(kernel::PeerIndex Manager, const std::vector<kernel::RouteBacklog> &Backlog);

  /// Begins a planned stop. All requests are answered by then: jobs are given up that have not
  /// ended, jobs that cannot end in time are rejected at once, and later requests are refused.
  void answerAllBy(core::TimePoint Deadline) { StopDeadline_ = Deadline; }

  void tick(core::TimePoint Now);

  std::size_t openJobs() const { return Jobs_.size(); }

private:
  struct OpenJob {
    std::shared_ptr<const kernel::JobSubmission> Submission;
    std::vector<std::shared_ptr<reactor::HttpExchange>> Exchanges;
    std::optional<kernel::PeerIndex> Manager; ///< Empty until the job is submitted to one.
    core::TimePoint ManagerDeadline; ///< The job is rejected if no manager is known by then.
  };

  using Exchange = std::shared_ptr<reactor::HttpExchange>;

  void refuse(const Exchange &Request, const reactor::HttpReply &Reply, std::string_view Why,
              std::optional<kernel::JobKey> Key = std::nullopt);
  void submit(const Exchange &Request, const kernel::Route &Route, kernel::JobKey Key);
  static bool isSupported(const kernel::SubmittedJob &Submitted, const kernel::Route &Route);
  /// The job as it is submitted, if its caller waits for so long.
  std::shared_ptr<kernel::JobSubmission>
  makeSubmission(kernel::SubmittedJob Submitted, const kernel::Route &Route, kernel::JobKey Key,
                 core::TimePoint ReceivedAt, core::Duration Limit) const;
  /// Limit is the time for which the caller waits.
  void logReceived(const kernel::JobSubmission &Submission, core::Duration Limit);
  void attach(OpenJob &Job, const Exchange &Request);
  void cancel(const Exchange &Request, kernel::JobKey Key);
  void replyWithProgress(const Exchange &Request, kernel::JobKey Key);
  void replyWithBacklog(const Exchange &Request, const kernel::Route &Route);
  void submitToManager(OpenJob &Job);
  void callerDisconnected(kernel::JobKey Key, const reactor::HttpExchange *Request);
  void finish(kernel::JobKey Key, const reactor::HttpReply &Reply, std::string_view Outcome,
              core::TimePoint Now);
  reactor::HttpReply rejection(double RetryMilliseconds) const;
  /// The given deadline, or that of a planned stop if it is earlier.
  core::TimePoint limitToStop(core::TimePoint Deadline) const;

  const platform::CallerFormat &Format_;
  kernel::DecisionLog &Log_;
  core::MetricsRegistry &Metrics_;
  Sender Send_;
  std::shared_ptr<const kernel::PoolConfiguration> Configuration_;
  std::optional<kernel::PeerIndex> AssignedManager_;
  std::optional<core::TimePoint> StopDeadline_; ///< Of a planned stop, once it has begun.
  std::unordered_map<kernel::JobKey, OpenJob> Jobs_;
  std::map<kernel::PeerIndex, std::vector<kernel::RouteBacklog>> Backlogs_;
  Cancellations Cancellations_;
};

} // namespace cornellift::pool
