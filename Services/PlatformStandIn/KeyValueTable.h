#pragma once

#include "Libraries/LibCore/Time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::standin {

/// A value with the revision of its last write. All keys share one revision counter.
struct Entry {
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0; ///< Zero when the entry has no lease.
};

/// Result of a conditional write.
struct WriteResult {
  bool Applied = false;
  std::uint64_t Revision = 0; ///< Current revision of the entry; zero when there is none.
};

/// The keys, values and leases of the stand-in. Thread-safe. Bounded: writes of new keys fail with
/// Overloaded once there are MaximumKeys.
class KeyValueTable {
public:
  static constexpr std::size_t MaximumKeys = 100'000;

  std::optional<Entry> get(std::string_view Key);

  /// Writes if the entry's revision is Expected; zero means that the entry must not exist. Returns
  /// an empty optional with NotFound for an unknown lease, and with Overloaded when the table is
  /// full.
  std::optional<WriteResult> compareAndSwap(std::string_view Key, std::string Value,
                                            std::uint64_t Expected, std::uint64_t Lease);

  bool remove(std::string_view Key);

  /// Waits until the entry's revision is above After. Returns an empty optional with Timeout at the
  /// deadline, and with NotFound when After is not zero and the entry was removed or its lease has
  /// expired.
  std::optional<Entry> watch(std::string_view Key, std::uint64_t After, core::TimePoint Deadline);

  std::uint64_t grantLease(core::Duration Lifetime);

  /// Restarts the lifetime of a lease. Returns false with NotFound when it has expired.
  bool renewLease(std::uint64_t Lease);

  /// Wakes all watches, which then return without a result. Called on shutdown.
  void stop();

private:
  struct Lease {
    core::Duration Lifetime{0};
    core::TimePoint Deadline;
  };

  /// Deadline of the entry's lease; the latest time of all for an entry without one.
  core::TimePoint leaseEnd(const Entry &Held) const;

  void removeExpired();

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Entry, std::less<>> Entries_;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t LastRevision_ = 0;
  std::uint64_t LastLease_ = 0;
  bool Stopped_ = false;
};

} // namespace cornellift::standin
