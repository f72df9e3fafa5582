#pragma once

#include "Services/PlatformStandIn/KeyValueTable.h"
#include "Services/PlatformStandIn/LaggingVmList.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include <httplib.h>

namespace cornellift::standin {

/// Longest value that the platform takes.
constexpr std::size_t MaximumValueBytes = 1 << 20;

/// HTTP server of the platform stand-in: docs/design.md section 5, with switches for tests under
/// /control/.
///
/// Keys: values are the bodies, revisions the header X-Revision. A write that is not applied gets
/// 409 with the current revision. A watch without a change gets 204 at its deadline. The list of
/// VMs has an entity tag; a reader that names it gets 304 while the list is the same.
class StandInServer {
public:
  /// Threads bounds the concurrent requests; a pending watch holds one.
  explicit StandInServer(std::size_t Threads);

  /// Binds to the loopback address. Port 0 takes a free one. Returns the port, or -1 when it is
  /// taken.
  int bind(int Port);

  /// Serves until stop() is called from another thread.
  void serve();
  void stop();

private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  /// What the switches under /control/ are set to.
  struct Faults {
    std::atomic<bool> Down{false};
    std::atomic<std::int64_t> SlowMilliseconds{0};
    std::atomic<std::int64_t> SwallowedWrites{0};
  };

  struct Counters {
    std::atomic<std::uint64_t> Reads{0};
    std::atomic<std::uint64_t> Writes{0};
    std::atomic<std::uint64_t> Watches{0};
    std::atomic<std::uint64_t> VmLists{0};
    std::atomic<std::uint64_t> Bytes{0}; ///< Of requests and replies, with their headers.
  };

  void addKeyRoutes();
  void addLeaseRoutes();
  void addControlRoutes();

  void get(const Request &Call, Response &Reply);
  void put(const Request &Call, Response &Reply);
  void remove(const Request &Call, Response &Reply);
  void watch(const Request &Call, Response &Reply);
  void listVms(const Request &Call, Response &Reply);
  void count(const Request &Call, const Response &Reply);
  void grantLease(const Request &Call, Response &Reply);
  void setFaults(const Request &Call, Response &Reply);
  std::string countersText() const;

  /// Answers 503 when the switch is set to down, and waits when it is set to slow.
  httplib::Server::HandlerResponse applyFaults(const Request &Call, Response &Reply);

  /// Cuts the connection instead of replying when the next reply to a write is to be lost.
  void swallowIfAsked(Response &Reply);

  KeyValueTable Table_;
  LaggingVmList Vms_;
  Faults Faults_;
  Counters Counters_;
  httplib::Server Server_;
};

} // namespace cornellift::standin
