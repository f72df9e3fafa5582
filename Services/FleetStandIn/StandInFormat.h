#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibReactor/HttpExchange.h"
#include "Services/FleetStandIn/StoreModel.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cornellift::standin {

// Requests to a store.
struct RangeCall {
  std::string Prefix;
  std::string AfterKey;
};
struct WatchCall {
  std::string Prefix;
  std::uint64_t AfterRevision = 0;
  std::uint32_t WaitMilliseconds = 0;
};
struct OpenLeaseCall {
  std::uint32_t Milliseconds = 0;
};
struct RenewLeaseCall {
  std::uint64_t Lease = 0;
};
struct EndLeaseCall {
  std::uint64_t Lease = 0;
};
using StoreCall =
    std::variant<RangeCall, WatchCall, StoreChange, OpenLeaseCall, RenewLeaseCall, EndLeaseCall>;
using WorkerCall = std::variant<kernel::StartCommand, kernel::StopCommand, kernel::PollCommand>;

/// Server side of the platform's formats: parses the requests to a store or a worker, and renders
/// their replies.
class StandInFormat {
public:
  virtual ~StandInFormat() = default;

  /// Returns an empty optional when the call is not a valid store request.
  virtual std::optional<StoreCall> parseStoreCall(const reactor::HttpExchange &Call) const = 0;
  virtual reactor::HttpReply renderPage(const platform::StorePage &Page) const = 0;
  virtual reactor::HttpReply renderEvents(const platform::StoreEvents &Events) const = 0;
  virtual reactor::HttpReply renderChange(ChangeVerdict Verdict, std::uint64_t Revision) const = 0;
  virtual reactor::HttpReply renderLease(std::uint64_t Lease, std::uint32_t Milliseconds) const = 0;
  virtual reactor::HttpReply renderExpired() const = 0;

  /// Returns an empty optional when the call is not a valid worker request.
  virtual std::optional<WorkerCall> parseWorkerCall(const reactor::HttpExchange &Call) const = 0;
  virtual reactor::HttpReply renderCommandReply(const kernel::CommandReply &Reply) const = 0;
  virtual reactor::HttpReply renderPollReply(const kernel::PollReply &Reply) const = 0;

  /// Key and value of a worker's entry in the store.
  virtual std::string entryKey(const kernel::WorkerEntry &Entry) const = 0;
  virtual std::string renderEntry(const kernel::WorkerEntry &Entry,
                                  std::uint64_t Sequence) const = 0;
  virtual std::string configurationKey() const = 0;
};

using StandInFormatRegistry = core::PluginRegistry<StandInFormat>;

} // namespace cornellift::standin
