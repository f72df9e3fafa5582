#pragma once

#include "Tests/Integration/PoolDeployment.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace cornellift::soak {

/// Injects random faults into a deployment from outside its processes: signals, network faults of
/// the proxy, and a store and workers that misbehave. Faults overlap; each is undone after a random
/// time.
class SoakFaults {
public:
  SoakFaults(integration::PoolDeployment &Deployment, std::uint64_t Seed);

  /// Injects faults for the given time, then undoes all of them.
  void run(std::chrono::milliseconds Span);

  /// Injected faults with their times since construction, for the log folder of the seed.
  const std::vector<std::string> &journal() const { return Journal_; }
  /// Describes runs that started in a data centre long after an operator had evacuated it.
  std::vector<std::string> lateStarts() const;
  /// Version of the latest configuration.
  std::uint64_t version() const { return Version_; }

private:
  using Clock = std::chrono::steady_clock;
  struct Undo {
    Clock::time_point At;
    std::function<void()> Act;
  };

  struct Evacuation {
    std::string DataCentre;
    std::int64_t FromMicroseconds = 0;
    std::int64_t ToMicroseconds = 0; ///< Zero until it is taken back.
  };

  void inject();
  void signalFault();
  void proxyFault();
  void storeFault();
  void workerFault();
  void restartWorker(const std::string &Id);
  void putOddEntry();
  void changeConfiguration();
  void evacuate();
  void undoDue(Clock::time_point Now);
  void undoAfter(std::chrono::milliseconds Span, std::function<void()> Act);
  void record(const std::string &Text);
  std::chrono::milliseconds randomDuration(int Minimum, int Maximum);
  integration::PoolVm &randomVm();
  std::size_t randomBelow(std::size_t Count) { return Random_() % Count; }

  integration::PoolDeployment &Deployment_;
  std::mt19937_64 Random_;
  Clock::time_point StartedAt_ = Clock::now();
  std::vector<Undo> Undos_;
  std::vector<std::string> Journal_;
  std::uint64_t Version_ = 1; ///< The deployment starts with this one.
  std::vector<Evacuation> Evacuations_;
  std::size_t OddEntries_ = 0;
  std::size_t Restarts_ = 0; ///< Of workers.
};

} // namespace cornellift::soak
