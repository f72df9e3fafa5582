#pragma once

#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibReactor/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::store {

namespace asio = boost::asio;

using platform::StoreEvents;
using platform::StoreFailure;
using platform::StoreItem;
using platform::StorePage;
using platform::StoreReply;
using platform::StoreWrite;

/// Number of calls made so far, by kind. Leases counts leases that were opened or ended.
struct StoreCounters {
  std::uint64_t Ranges = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failures = 0;
};

/// Asynchronous client of the platform's key-value store. Handlers are called on the reactor's
/// thread, exactly once. A call times out when its reply does not
/// begin, or stops arriving.
class StoreClient : public std::enable_shared_from_this<StoreClient> {
public:
  template <typename Value> using Handler = std::function<void(StoreReply<Value>)>;

  StoreClient(asio::io_context &Reactor, const reactor::Tcp::endpoint &Address,
              const platform::StoreFormat &Format);

  /// Reads all keys with the prefix, page by page. The revision in the reply is that of the first
  /// page, so that a watch from there misses no change. Values of more than MaximumValueBytes are
  /// left out.
  void range(std::string Prefix, std::size_t MaximumValueBytes, Handler<StorePage> OnReply);

  /// Waits for changes of keys with the prefix after the given revision. Replies without events
  /// when Wait is over. Values of more than MaximumValueBytes are left out.
  void watch(std::string_view Prefix, std::uint64_t AfterRevision, core::Duration Wait,
             std::size_t MaximumValueBytes, Handler<StoreEvents> OnReply);

  void write(const StoreWrite &Write, Handler<std::uint64_t> OnReply);
  void openLease(core::Duration Time, Handler<std::uint64_t> OnReply);
  void renewLease(std::uint64_t Lease, Handler<std::uint64_t> OnReply);
  void endLease(std::uint64_t Lease);

  const platform::StoreFormat &format() const { return Format_; }
  const StoreCounters &counters() const { return Counters_; }

  /// When the store last answered a call; initially when this client was created.
  core::TimePoint lastAnsweredAt() const { return LastAnsweredAt_; }
  /// Returns whether the last call was refused or got no answer.
  bool isUnavailable() const { return IsUnavailable_; }
  /// When a call was last refused or got no answer.
  core::TimePoint lastFailedAt() const { return LastFailedAt_; }

private:
  void nextPage(std::string Prefix, std::size_t MaximumValueBytes,
                const std::shared_ptr<StorePage> &Gathered, std::string_view AfterKey,
                Handler<StorePage> OnReply);
  template <typename Value> void recordReply(const StoreReply<Value> &Reply);
  static reactor::CallDeadline deadlineAfter(core::Duration Timeout);

  const platform::StoreFormat &Format_;
  std::shared_ptr<reactor::HttpClient> Client_;
  StoreCounters Counters_;
  core::TimePoint LastAnsweredAt_;
  core::TimePoint LastFailedAt_;
  bool IsUnavailable_ = false;
};

} // namespace cornellift::store
