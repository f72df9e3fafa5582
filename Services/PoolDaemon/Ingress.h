#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolConfiguration.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibPlatform/CallerFormat.h"
#include "Libraries/LibReactor/HttpExchange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::pool {

/// Takes callers' requests, hands their jobs to the manager of a pool and returns its answers. Each
/// request is answered exactly once: with the job's end, or as soon as it is known that the job
/// cannot be done or that its manager is lost.
class Ingress {
public:
  using Sender = std::function<void(kernel::PeerIndex, kernel::PoolMessage)>;

  Ingress(const platform::CallerFormat &Format, kernel::DecisionLog &Log,
          core::MetricsRegistry &Metrics, Sender Send);

  void setConfiguration(std::shared_ptr<const kernel::PoolConfiguration> Configuration);

  /// Who takes new jobs; nobody when empty.
  void setAssignedManager(std::optional<kernel::PeerIndex> Manager, core::TimePoint Now);

  void handle(const std::shared_ptr<reactor::HttpExchange> &Exchange);
  void answered(const kernel::PoolAnswer &Answer, core::TimePoint Now);
  void peerLost(kernel::PeerIndex Peer, core::TimePoint Now);

  /// Waiting jobs at a manager, by route.
  void setBacklog(kernel::PeerIndex Manager, const std::vector<kernel::RouteBacklog> &Backlog);

  void tick(core::TimePoint Now);

  std::size_t openJobs() const { return Jobs_.size(); }

private:
  struct OpenJob {
    std::shared_ptr<const kernel::JobSubmission> Submission;
    std::vector<std::shared_ptr<reactor::HttpExchange>> Exchanges;
    std::optional<kernel::PeerIndex> Manager; ///< That has the job; empty while there is none.
    core::TimePoint ManagerDeadline; ///< Without a manager until then, the job is rejected.
  };

  using Exchange = std::shared_ptr<reactor::HttpExchange>;

  void refuse(const Exchange &Request, const reactor::HttpReply &Reply, std::string_view Why,
              std::optional<kernel::JobKey> Key = std::nullopt);
  void submit(const Exchange &Request, const kernel::Route &Route, kernel::JobKey Key);
  void attach(OpenJob &Job, const Exchange &Request);
  void cancel(const Exchange &Request, kernel::JobKey Key);
  void replyWithProgress(const Exchange &Request, kernel::JobKey Key);
  void replyWithBacklog(const Exchange &Request, const kernel::Route &Route);
  void submitToManager(OpenJob &Job);
  void callerDisconnected(kernel::JobKey Key, const reactor::HttpExchange *Request);
  void finish(kernel::JobKey Key, const reactor::HttpReply &Reply, std::string_view Outcome,
              core::TimePoint Now);
  reactor::HttpReply rejection(double RetryMilliseconds) const;

  const platform::CallerFormat &Format_;
  kernel::DecisionLog &Log_;
  core::MetricsRegistry &Metrics_;
  Sender Send_;
  std::shared_ptr<const kernel::PoolConfiguration> Configuration_;
  std::optional<kernel::PeerIndex> AssignedManager_;
  std::unordered_map<kernel::JobKey, OpenJob> Jobs_;
  std::map<kernel::PeerIndex, std::vector<kernel::RouteBacklog>> Backlogs_;
};

} // namespace cornellift::pool
