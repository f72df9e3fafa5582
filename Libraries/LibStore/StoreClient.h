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

/// Calls made so far, by kind.
struct StoreCounters {
  std::uint64_t Ranges = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failures = 0;
};

/// The platform's store. Handlers are called on the reactor's thread, exactly once, at the call's
/// deadline at the latest.
class StoreClient : public std::enable_shared_from_this<StoreClient> {
public:
  template <typename Value> using Handler = std::function<void(StoreReply<Value>)>;

  StoreClient(asio::io_context &Reactor, const reactor::Tcp::endpoint &Address,
              const platform::StoreFormat &Format);

  /// All keys with the prefix, page by page. The revision is that of the first page, so that a
  /// watch from there misses nothing.
  void range(std::string Prefix, Handler<StorePage> OnReply);

  /// Waits for events with the prefix after the revision.
  void watch(std::string_view Prefix, std::uint64_t AfterRevision, core::Duration Wait,
             Handler<StoreEvents> OnReply);

  void write(const StoreWrite &Write, Handler<std::uint64_t> OnReply);
  void openLease(core::Duration Time, Handler<std::uint64_t> OnReply);
  void renewLease(std::uint64_t Lease, Handler<std::uint64_t> OnReply);
  void endLease(std::uint64_t Lease);

  const platform::StoreFormat &format() const { return Format_; }
  const StoreCounters &counters() const { return Counters_; }

  /// When the store answered a call last, or when this client was made; and whether it refused or
  /// lost the last one.
  core::TimePoint lastAnsweredAt() const { return LastAnsweredAt_; }
  bool isUnavailable() const { return IsUnavailable_; }
  core::TimePoint lastFailedAt() const { return LastFailedAt_; }

private:
  void nextPage(std::string Prefix, const std::shared_ptr<StorePage> &Gathered,
                std::string_view AfterKey, Handler<StorePage> OnReply);
  template <typename Value> void recordReply(const StoreReply<Value> &Reply);
  core::TimePoint deadline() const;

  const platform::StoreFormat &Format_;
  std::shared_ptr<reactor::HttpClient> Client_;
  StoreCounters Counters_;
  core::TimePoint LastAnsweredAt_;
  core::TimePoint LastFailedAt_;
  bool IsUnavailable_ = false;
};

} // namespace cornellift::store
