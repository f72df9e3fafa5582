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

/// A value with the revision of its last write. Revisions grow over all keys.
struct Entry {
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0; ///< Zero: the entry stays until it is deleted.
};

/// Result of a conditional write.
struct WriteResult {
  bool Applied = false;
  std::uint64_t Revision = 0; ///< Of the entry now; zero when there is none.
};

/// The keys, values and leases of the stand-in. Safe to use from every thread. Bounded: writes of
/// new keys fail with Overloaded above MaximumKeys.
class KeyValueTable {
public:
  static constexpr std::size_t MaximumKeys = 100'000;

  std::optional<Entry> get(std::string_view Key);

  /// Writes if the entry's revision is Expected; zero expects that there is no entry. Returns an
  /// empty optional with NotFound for an unknown lease and with Overloaded for one key too many.
  std::optional<WriteResult> compareAndSwap(std::string_view Key, std::string Value,
                                            std::uint64_t Expected, std::uint64_t Lease);

  bool remove(std::string_view Key);

  /// Waits until the entry's revision is above After. Returns an empty optional at the deadline.
  std::optional<Entry> watch(std::string_view Key, std::uint64_t After, core::TimePoint Deadline);

  std::uint64_t grantLease(core::Duration Lifetime);

  /// Extends a lease that has not lapsed by its lifetime, counted from now.
  bool renewLease(std::uint64_t Lease);

  /// Wakes every watch, which then ends without a result. For the end of the process.
  void stop();

private:
  struct Lease {
    core::Duration Lifetime{0};
    core::TimePoint Deadline;
  };

  void removeLapsed();

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Entry, std::less<>> Entries_;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t LastRevision_ = 0;
  std::uint64_t LastLease_ = 0;
  bool Stopped_ = false;
};

} // namespace cornellift::standin
