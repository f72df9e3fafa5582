#pragma once

#include "Services/PlatformStandIn/KeyValueTable.h"
#include "Services/PlatformStandIn/LaggingVmList.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include <httplib.h>

namespace cornellift::standin {

/// Maximum size of a value in the store.
constexpr std::size_t MaximumValueBytes = 1 << 20;

/// HTTP server of the platform stand-in; see docs/design.md section 5. Tests inject faults under
/// /control/.
///
/// A value is sent as the body, its revision in the header X-Revision. A write whose condition
/// fails gets 409 with the current revision. A watch without a change gets 204 at its deadline, and
/// 404 once its key was removed or the lease has expired, unless it is after revision 0. The list
/// of VMs has an entity tag; a request with this tag gets 304 while the list is unchanged.
class StandInServer {
public:
  /// Threads is the number of concurrent requests; each pending watch occupies one.
  explicit StandInServer(std::size_t Threads);

  /// Binds to the loopback address. Port 0 selects a free one. Returns the port, or -1 when it is
  /// taken.
  int bind(int Port);

  /// Serves until stop() is called from another thread.
  void serve();
  void stop();

private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  /// Faults that were set under /control/faults.
  struct Faults {
    std::atomic<bool> Down{false};
    std::atomic<std::int64_t> SlowMilliseconds{0};
    std::atomic<std::int64_t> WriteRepliesToDrop{0};
  };

  struct Counters {
    std::atomic<std::uint64_t> Reads{0};
    std::atomic<std::uint64_t> Writes{0};
    std::atomic<std::uint64_t> Watches{0};
    std::atomic<std::uint64_t> VmLists{0};
    std::atomic<std::uint64_t> Bytes{0}; ///< Total size of requests and replies, with headers.
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

  /// Delays the request by SlowMilliseconds, and replies with 503 while Down is set.
  httplib::Server::HandlerResponse applyFaults(const Request &Call, Response &Reply);

  /// Closes the connection instead of replying while there are replies to writes to drop.
  void dropReplyIfRequested(Response &Reply);

  KeyValueTable Table_;
  LaggingVmList Vms_;
  Faults Faults_;
  Counters Counters_;
  httplib::Server Server_;
};

} // namespace cornellift::standin
