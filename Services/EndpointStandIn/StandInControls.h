#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cornellift::standin {

/// Which answers an endpoint withholds: none, those to starts in progress, or all.
enum class Silence { None, OpenStarts, All };

/// Faults that tests inject while the endpoint runs. Thread-safe.
class StandInControls {
public:
  /// Applies a JSON object with any of fail_all, slow_factor, silent ("none", "open_starts", "all")
  /// and crossed_answers (a start gets the answer to the previous one). Returns false with
  /// Malformed for anything else.
  bool apply(std::string_view Body);

  bool failsEverything() const;
  double slowFactor() const;
  bool crossesAnswers() const;

  /// Counts the changes of the silence; with OpenStarts, the answer to a start that began in an
  /// earlier period is withheld.
  std::uint64_t silencePeriod() const;

  /// Waits while answers are withheld from a request that began in the given period.
  void waitWhileSilent(std::uint64_t BeganInPeriod);

  /// Releases all waiting requests, and lets later ones pass.
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
