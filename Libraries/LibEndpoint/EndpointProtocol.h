#pragma once

#include "Kernel/Event.h"
#include "Kernel/Job.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornellift::endpoint {

/// Request to start one task.
struct StartRequest {
  std::string Task;          ///< Text form of the task identifier.
  std::uint32_t Attempt = 0; ///< Increases with each attempt to start the task.
  std::string Boot; ///< Boot identifier of the expected endpoint process; any other refuses.
  std::string Service;
  std::string Kind;
  std::string Team;
  kernel::Resources Declared;
  std::uint32_t TaskCount = 1;   ///< Tasks of the whole job.
  std::uint64_t Fingerprint = 0; ///< Fingerprint of the job's specification.
  std::string_view Payload;      ///< UTF-8.
};

/// The endpoint refused the task before starting it.
struct Refused {
  kernel::StartRefusal Cause{};
};

/// The request was certainly not sent: no byte of it was written.
struct NeverWritten {
  std::string Cause;
};

/// A task that has ended, with the endpoint's own measurements.
struct Ended {
  kernel::TaskVerdict Verdict{};
  kernel::TaskResult Result; ///< The result, or the failure's message.
  core::Duration RunTime{0};
  kernel::Resources Used; ///< Zero when not reported.
};

/// The endpoint may have read the request, but no complete matching answer was received.
struct Uncertain {
  std::string Cause;
};

using StartAnswer = std::variant<Refused, NeverWritten, Ended, Uncertain>;

/// The task has started and has not ended.
struct Running {};

/// The task has not started in this endpoint process, and its fenced attempts never will.
struct NotStartedAndFenced {};

/// The endpoint has no record of the task, or has restarted since the given boot identifier.
struct NoRecord {};

using TaskAnswer = std::variant<Running, NotStartedAndFenced, Ended, NoRecord>;

/// Optional abilities of an endpoint.
struct Capabilities {
  bool TaskFence = false;
  bool JobRecords = false;
};

/// Snapshot of an endpoint's state.
struct EndpointStatus {
  std::string Boot; ///< Boot identifier, new after each restart; empty when not reported.
  Capabilities Offered;
  enum class Standing { Live, Leaving } State{};
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  kernel::Resources Used; ///< Reported with a lag.
};

/// An endpoint's record of one task of a job.
struct JobRecord {
  std::uint32_t Index = 0;
  std::variant<Running, Ended> State;
};

/// An endpoint's records of a job.
struct JobRecords {
  std::uint32_t TaskCount = 0;   ///< Tasks of the whole job; zero when there is no record.
  std::string Team;              ///< Owner of the job; empty when not reported.
  std::uint64_t Fingerprint = 0; ///< As in the start requests; zero when not reported.
  std::vector<JobRecord> Tasks;
};

/// One connection to an endpoint. Not safe for use by several threads, except for abort().
///
/// A deadline bounds the wait for the next part of an answer. A call never sends a request twice.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  /// Starts a task and waits for its end.
  virtual StartAnswer start(const StartRequest &Request, core::TimePoint Deadline) = 0;

  /// Queries the status of a task that was started in the endpoint process with the given boot
  /// identifier. Returns an empty optional with Unavailable when no complete answer was received.
  virtual std::optional<TaskAnswer> queryTask(std::string_view Task, std::string_view Boot,
                                              core::TimePoint Deadline) = 0;

  /// Makes the endpoint refuse starts of the task up to the given attempt, and returns the task's
  /// state. A later attempt may start on the same endpoint, since an entry process may hold slots
  /// of no other one. NotStartedAndFenced is returned only when the boot identifier matches.
  virtual std::optional<TaskAnswer> fence(std::string_view Task, std::uint32_t Attempt,
                                          std::string_view Boot, core::TimePoint Deadline) = 0;

  virtual std::optional<EndpointStatus> status(core::TimePoint Deadline) = 0;

  /// Returns an empty optional with Unsupported when the endpoint keeps no records.
  virtual std::optional<JobRecords> jobRecords(std::string_view Job, core::TimePoint Deadline) = 0;

  /// Aborts a call in progress on another thread; it returns as for a lost connection.
  virtual void abort() = 0;
};

/// Creates a connection to the endpoint at an IP address and port, such as "10.0.0.7:9000", with
/// the named protocol. Connects on first use. Returns an empty optional with Malformed or
/// NotFound.
std::optional<std::unique_ptr<EndpointProtocol>> connectEndpoint(std::string_view Protocol,
                                                                 std::string_view Address);

} // namespace cornellift::endpoint
