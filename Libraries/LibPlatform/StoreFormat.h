#pragma once

#include "Kernel/Pool/PoolConfiguration.h"
#include "Libraries/LibReactor/HttpResult.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::platform {

/// A key of the store with its value.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0; ///< Revision of its last change.
  bool IsTooLong = false;     ///< The value was longer than the reader accepts and was left out.
};

/// A key that was written or removed.
struct StoreEvent {
  StoreItem Item; ///< Without a value when removed.
  bool IsRemoved = false;
};

/// One page of a range read by prefix.
struct StorePage {
  std::vector<StoreItem> Items;
  bool HasMore = false;
  std::uint64_t Revision = 0; ///< Revision of the store when it read the page.
  std::size_t ReplyBytes = 0; ///< Size of the reply's body.
};

struct StoreEvents {
  std::vector<StoreEvent> Events;
  std::uint64_t Revision = 0; ///< Revision from which to continue the watch.
  std::size_t ReplyBytes = 0; ///< Size of the reply's body.
};

/// Why a request to the store failed.
enum class StoreFailure {
  Unreachable, ///< No reply; a change may have been made, or may be made later.
  Refused,     ///< Nothing was done: the store is overloaded, or the rate limit was exceeded.
  Conflict,    ///< The condition of a change did not hold.
  Expired,     ///< The history was compacted, or the key or lease no longer exists.
  Malformed    ///< The reply could not be read.
};

/// Unconditional write of a key, optionally with a lease.
struct StoreWrite {
  std::string_view Key;
  std::string_view Value;
  std::uint64_t Lease = 0; ///< The key is removed when the lease ends; zero for none.
};

template <typename Value> struct StoreReply {
  std::optional<Value> Content;
  StoreFailure Failure = StoreFailure::Unreachable;
  std::string Cause; ///< Cause of the failure, for logs.
};

/// Format of the requests to the platform's store and of its replies.
class StoreFormat {
public:
  virtual ~StoreFormat() = default;

  virtual reactor::HttpRequest rangeRequest(std::string_view Prefix,
                                            std::string_view AfterKey) const = 0;
  /// Values of more than MaximumValueBytes are left out.
  virtual StoreReply<StorePage> parsePage(const reactor::HttpResult &Result,
                                          std::size_t MaximumValueBytes) const = 0;

  virtual reactor::HttpRequest watchRequest(std::string_view Prefix, std::uint64_t AfterRevision,
                                            std::uint32_t WaitMilliseconds) const = 0;
  /// Values of more than MaximumValueBytes are left out.
  virtual StoreReply<StoreEvents> parseEvents(const reactor::HttpResult &Result,
                                              std::size_t MaximumValueBytes) const = 0;

  virtual reactor::HttpRequest writeRequest(const StoreWrite &Write) const = 0;
  /// The content is the revision of the change.
  virtual StoreReply<std::uint64_t> parseWriteReply(const reactor::HttpResult &Result) const = 0;

  virtual reactor::HttpRequest leaseRequest(std::uint32_t Milliseconds) const = 0;
  /// The content is the lease's identifier.
  virtual StoreReply<std::uint64_t> parseLease(const reactor::HttpResult &Result) const = 0;
  virtual reactor::HttpRequest renewLeaseRequest(std::uint64_t Lease) const = 0;
  virtual reactor::HttpRequest revokeLeaseRequest(std::uint64_t Lease) const = 0;
  /// Parses the reply to a renewal or a revocation; the content is zero.
  virtual StoreReply<std::uint64_t> parseLeaseUpdate(const reactor::HttpResult &Result) const = 0;

  /// Prefix of the operators' keys, and the key of the configuration, which has that prefix.
  virtual std::string_view operatorPrefix() const = 0;
  virtual std::string_view configurationKey() const = 0;
  /// The name in a key that requests the evacuation of a data centre; empty for other keys. The
  /// view is into the key.
  virtual std::optional<std::string_view> evacuatedDataCentre(std::string_view Key) const = 0;
  /// Prefix of the workers' keys; the rest of a key is the worker's id.
  virtual std::string_view workerPrefix() const = 0;

  /// Returns an empty optional with Malformed when the text is not a configuration.
  virtual std::optional<kernel::PoolConfiguration>
  parseConfiguration(std::string_view Document) const = 0;
};

} // namespace cornellift::platform
