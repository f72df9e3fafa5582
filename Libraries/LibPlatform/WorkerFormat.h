#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibReactor/HttpResult.h"

#include <optional>
#include <string_view>

namespace cornellift::platform {

/// Format of the requests to workers, of their replies, and of their entries in the store.
class WorkerFormat {
public:
  virtual ~WorkerFormat() = default;

  virtual reactor::HttpRequest startRequest(std::string_view WorkerId,
                                            const kernel::StartCommand &Command) const = 0;
  virtual reactor::HttpRequest stopRequest(std::string_view WorkerId,
                                           const kernel::StopCommand &Command) const = 0;
  virtual reactor::HttpRequest pollRequest(std::string_view WorkerId,
                                           const kernel::PollCommand &Command) const = 0;

  /// A malformed reply is treated as no reply.
  virtual kernel::CommandReply parseCommandReply(const reactor::HttpResult &Result) const = 0;
  virtual kernel::PollReply parsePollReply(const reactor::HttpResult &Result) const = 0;

  /// ReadAt is when the value was read: an entry states times that are left.
  /// Returns an empty optional with Malformed for a value that does not describe a worker.
  virtual std::optional<kernel::WorkerEntry>
  parseEntry(std::string_view WorkerId, std::string_view Value, core::TimePoint ReadAt) const = 0;
};

} // namespace cornellift::platform
