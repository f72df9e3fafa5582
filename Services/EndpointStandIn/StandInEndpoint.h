#pragma once

#include "Libraries/LibCore/Time.h"
#include "Services/EndpointStandIn/StandInControls.h"
#include "Services/EndpointStandIn/StandInLog.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::standin {

struct EndpointOptions {
  std::string Name;
  std::uint32_t Slots = 8;
  double Speed = 1;                                  ///< Divides the run times.
  core::Duration UsageLag = std::chrono::seconds(1); ///< Age of the usage in the status.
};

/// Answer to one HTTP request.
struct Answer {
  int Status = 200;
  nlohmann::json Body;
};

/// The state of one endpoint: running tasks, records, fenced tasks. Tasks sleep for the time that
/// their payload states. Thread-safe.
class StandInEndpoint {
public:
  StandInEndpoint(EndpointOptions Options, StandInControls &Controls, StandInLog &Log);

  /// Runs the task and returns when it ends, or refuses it.
  Answer start(const std::string &Task, std::string_view Body);
  Answer queryTask(const std::string &Task) const;
  /// Refuses starts of the task up to the attempt in the body, or all starts without one.
  Answer fence(const std::string &Task, std::string_view Body);
  Answer jobRecords(const std::string &Job) const;
  Answer status() const;

  /// Refuses every start from this call on.
  void leave();

  /// Waits until no task runs.
  void waitUntilIdle();

private:
  using Json = nlohmann::json;

  /// What the task does according to its payload, with the resource limits applied.
  struct TaskBehaviour {
    core::Duration RunTime{0};
    bool Fails = false;
    std::string Text; ///< Result or failure message; when empty, the result is the run time.
    Json Used;
    std::uint32_t TaskCount = 1;
    std::string Team;
    std::uint64_t JobFingerprint = 0;
  };

  struct Record {
    Json Body; ///< With the state.
    TaskBehaviour Behaviour;
    core::TimePoint ExpiresAt;
  };

  std::optional<TaskBehaviour> parseTaskBehaviour(std::string_view Body) const;
  std::string refusalCause(const std::string &Task, std::uint32_t Attempt,
                           const std::string &ExpectedBoot) const;
  Json answerBody(const std::string &Task, std::string_view State) const;
  Json finish(const std::string &Task, const TaskBehaviour &Done, core::Duration RunTime);
  void recordUsage(const Json &Used, double Sign);
  void removeExpiredRecords(core::TimePoint Now);

  const EndpointOptions Options_;
  const std::string Boot_;
  StandInControls &Controls_;
  StandInLog &Log_;
  mutable std::mutex Mutex_;
  std::condition_variable Idle_;
  std::uint32_t Running_ = 0;
  bool Leaving_ = false;
  std::map<std::string, Record> Records_; ///< By task; a job's tasks share a prefix.
  struct Fence {
    std::uint32_t Attempt = 0; ///< The highest one that is refused.
    core::TimePoint ExpiresAt;
  };

  std::map<std::string, Fence> Fenced_;
  std::deque<std::pair<core::TimePoint, std::string>> Expirations_;
  Json Usage_;
  std::deque<std::pair<core::TimePoint, Json>> UsageHistory_;
  Json LastAnswer_;
};

} // namespace cornellift::standin
