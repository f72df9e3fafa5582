#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Utilities/Caller/CallerClient.h"

#include <optional>
#include <random>
#include <string>

namespace cornellift::caller {

/// The commands of cornellift-caller. Each returns the exit status.
class CallerCommand {
public:
  explicit CallerCommand(const core::Settings &Settings);

  core::ExitStatus run();

private:
  using Json = nlohmann::json;

  core::ExitStatus submit();
  core::ExitStatus sendJobRequest(const char *Method, const std::string &Id, bool Wait);
  std::optional<Json> readJob() const;
  Json generateJob() const;

  /// Submits the job with one identifier, trying all entry VMs. Returns an empty optional when a
  /// new identifier may be used: this one was never sent, or its job is known not to have run.
  std::optional<core::ExitStatus> submitWithId(const std::string &Id, std::size_t Entry, Json &Job);

  /// Polls until the job has an outcome or the deadline passes.
  core::ExitStatus awaitOutcome(const std::string &Id, std::size_t Entry);
  core::ExitStatus reportAnswer(const Json &Body) const;
  core::ExitStatus reportUnknown(const std::string &Id) const;
  core::ExitStatus reportFailure(core::ExitStatus Status, const std::string &Message) const;
  void showProgress(const Json &Body) const;
  void waitBeforeRetry();
  bool hasTime() const { return core::MonotonicClock::now() < Deadline_; }
  std::string waitQuery() const;

  const core::Settings &Settings_;
  CallerClient Client_;
  const core::TimePoint Deadline_;
  std::mt19937_64 Random_{std::random_device()()};
};

} // namespace cornellift::caller
