#pragma once

#include "Tests/Integration/PoolDeployment.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cornellift::soak {

/// Outcome of one job over all attempts.
struct JobOutcome {
  std::string Key;
  int Attempts = 0;
  bool IsCompleted = false;
  bool IsFailed = false;
  bool OnlyRejected = true; ///< Every attempt was answered "not run".
  bool IsPending = true;    ///< No final answer.
  /// When the cancelling of the job was acknowledged, on the steady clock; empty if it was not.
  std::optional<std::int64_t> CancelledAtMicroseconds;
};

/// Callers with persistent connections. When an answer is lost, a caller sends the job again after
/// 1.3 s, to a random VM of its data centre. Some jobs are cancelled at a random VM instead.
class SoakCallers {
public:
  SoakCallers(integration::PoolDeployment &Deployment, std::uint64_t Seed, std::size_t Count);
  ~SoakCallers();

  /// Waits until each caller has finished its current job, and joins the threads.
  void finish();

  std::vector<JobOutcome> outcomes() const;

private:
  void serve(std::size_t Caller, std::uint64_t Seed);
  JobOutcome runJob(std::mt19937_64 &Random, std::vector<std::uint16_t> &Ports);
  static JobOutcome runCancelledJob(std::mt19937_64 &Random, std::vector<std::uint16_t> &Ports);

  std::vector<std::vector<std::uint16_t>> PortsByDataCentre_;
  std::vector<std::thread> Threads_;
  std::atomic<bool> Stopping_{false};
  mutable std::mutex Mutex_;
  std::vector<JobOutcome> Outcomes_;
};

} // namespace cornellift::soak
