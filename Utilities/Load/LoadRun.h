#pragma once

#include "Libraries/LibCore/Time.h"
#include "Utilities/Caller/CallerClient.h"
#include "Utilities/Load/LoadPlan.h"
#include "Utilities/Load/LoadReport.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornellift::load {

struct LoadOptions {
  std::vector<std::string> Entries;
  std::vector<PlannedJob> Plan; ///< Ordered by time.
  std::uint32_t Connections = 0;
  core::Duration RunTimeLimit{0};
};

/// Sends jobs at planned times that do not depend on the answers (open-loop load). Response times
/// are measured from the planned time, so that a stalled entry VM's delays to later jobs count.
class LoadRun {
public:
  explicit LoadRun(LoadOptions Options);

  LoadReport run();

private:
  using Clients = std::map<std::string, caller::CallerClient>; ///< By key.

  void sendJobs(std::size_t Number);
  void sendJob(caller::CallerClient &Client, std::size_t Job);
  void count(const caller::Reply &Answer, std::size_t Job, double ResponseMilliseconds);

  const LoadOptions Options_;
  core::TimePoint Start_;
  core::TimePoint Deadline_;
  std::atomic<std::size_t> Next_{0};
  std::mutex Mutex_;
  LoadReport Report_;
};

} // namespace cornellift::load
