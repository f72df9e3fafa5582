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

/// What one start carries.
struct StartRequest {
  std::string Task;          ///< Text form of the task identifier.
  std::uint32_t Attempt = 0; ///< Grows with each start of the task that is tried.
  std::string Boot; ///< The endpoint's run that the start is meant for; another run refuses it.
  std::string Service;
  std::string Kind;
  std::string Team;
  kernel::Resources Declared;
  std::uint32_t TaskCount = 1;   ///< Of the whole job.
  std::uint64_t Fingerprint = 0; ///< Of the job's specification.
  std::string_view Payload;      ///< UTF-8.
};

/// The endpoint refused the task before starting it.
struct Refused {
  kernel::StartRefusal Cause{};
};

/// It is certain that no byte of the request was written.
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

/// The request may have been read, and no whole answer that belongs to it has come.
struct Uncertain {
  std::string Cause;
};

using StartAnswer = std::variant<Refused, NeverWritten, Ended, Uncertain>;

/// The task has started and has not ended.
struct Running {};

/// The task never started in this run of the endpoint and never will.
struct NotStartedAndFenced {};

/// The endpoint has no record of the task, or it is another run than the one asked about.
struct NoRecord {};

using TaskAnswer = std::variant<Running, NotStartedAndFenced, Ended, NoRecord>;

/// Optional abilities of an endpoint.
struct Capabilities {
  bool TaskFence = false;
  bool JobRecords = false;
};

/// Standing of an endpoint at one moment.
struct EndpointStatus {
  std::string Boot; ///< Differs between runs of the endpoint; empty when it does not tell.
  Capabilities Offered;
  enum class Standing { Live, Leaving } State{};
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  kernel::Resources Used; ///< Lags behind.
};

/// An endpoint's record of one task of a job.
struct JobRecord {
  std::uint32_t Index = 0;
  std::variant<Running, Ended> State;
};

/// An endpoint's records of a job.
struct JobRecords {
  std::uint32_t TaskCount = 0;   ///< Of the whole job; zero when there is no record.
  std::string Team;              ///< Whose job it is; empty when the endpoint does not tell.
  std::uint64_t Fingerprint = 0; ///< As in the starts; zero when the endpoint does not tell.
  std::vector<JobRecord> Tasks;
};

/// One connection to an endpoint. Not safe for use by several threads, except for abort().
///
/// Deadlines bound the wait for the next part of an answer; a call never sends a request twice.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  /// Starts a task and waits for its end.
  virtual StartAnswer start(const StartRequest &Request, core::TimePoint Deadline) = 0;

  /// Asks about a task that was started in the given run of the endpoint. Returns an empty optional
  /// with Unavailable when no whole answer came.
  virtual std::optional<TaskAnswer> ask(std::string_view Task, std::string_view Boot,
                                        core::TimePoint Deadline) = 0;

  /// Makes the endpoint refuse the task's starts up to that attempt and reports its state. A later
  /// attempt may start there: a process that holds slots of one endpoint only has no other.
  /// NotStartedAndFenced is returned only by the given run of the endpoint.
  virtual std::optional<TaskAnswer> fence(std::string_view Task, std::uint32_t Attempt,
                                          std::string_view Boot, core::TimePoint Deadline) = 0;

  virtual std::optional<EndpointStatus> status(core::TimePoint Deadline) = 0;

  /// Returns an empty optional with Unsupported when the endpoint keeps no records.
  virtual std::optional<JobRecords> jobRecords(std::string_view Job, core::TimePoint Deadline) = 0;

  /// Ends a call that is under way on another thread; it returns as for a lost connection.
  virtual void abort() = 0;
};

/// Opens a connection to the endpoint at an IP address and port, such as "10.0.0.7:9000", with the
/// protocol of that name. Connects on first use. Returns an empty optional with Malformed or
/// NotFound.
std::optional<std::unique_ptr<EndpointProtocol>> connectEndpoint(std::string_view Protocol,
                                                                 std::string_view Address);

} // namespace cornellift::endpoint
