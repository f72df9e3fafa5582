#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cornellift::standin {

/// Which answers an endpoint withholds.
enum class Silence { None, OpenStarts, All };

/// Faults that tests switch on and off while the endpoint runs. Safe to use from every thread.
class StandInControls {
public:
  /// Applies a JSON object with any of fail_all, slow_factor, silent ("none", "open_starts", "all")
  /// and crossed_answers. Returns false with Malformed for anything else.
  bool apply(std::string_view Body);

  bool failsEverything() const;
  double slowFactor() const;
  bool crossesAnswers() const;

  /// Number of the current period of silence for OpenStarts; a start that began in an earlier one
  /// withholds its answer.
  std::uint64_t silencePeriod() const;

  /// Waits while answers are withheld from a request that began in the given period.
  void waitWhileSilent(std::uint64_t BeganInPeriod);

  /// Ends all waiting for good.
  void release();

private:
  bool isSilentFor(std::uint64_t BeganInPeriod) const;

  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  bool FailsEverything_ = false;
  double SlowFactor_ = 1;
  bool CrossesAnswers_ = false;
  Silence Silence_ = Silence::None;
  std::uint64_t SilencePeriod_ = 0;
  bool Released_ = false;
};

} // namespace cornellift::standin
