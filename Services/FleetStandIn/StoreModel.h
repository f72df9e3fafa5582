#pragma once

#include "Libraries/LibCore/Time.h"
#include "Libraries/LibPlatform/StoreFormat.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::standin {

/// A transaction: writes and removals that are applied if all conditions hold.
struct StoreChange {
  struct Condition {
    std::string Key;
    std::uint64_t Revision = 0; ///< Zero: the key must not exist.
  };
  struct Write {
    std::string Key;
    std::string Value;
    std::uint64_t Lease = 0;
  };
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  std::vector<std::string> Removals;
};

enum class ChangeVerdict { Applied, Conflict, NoSuchLease };

/// A key-value store with revisions, leases and a history that can be compacted, without sockets or
/// clocks.
class StoreModel {
public:
  ChangeVerdict apply(const StoreChange &Change, core::TimePoint Now);

  platform::StorePage range(std::string_view Prefix, std::string_view AfterKey) const;

  /// Events with the prefix after the revision; an empty optional when that history was compacted.
  std::optional<platform::StoreEvents> eventsAfter(std::string_view Prefix,
                                                   std::uint64_t Revision) const;

  std::uint64_t grantLease(core::Duration Time, core::TimePoint Now);
  /// Returns false when the lease has expired or was revoked.
  bool renewLease(std::uint64_t Lease, core::TimePoint Now);
  bool revokeLease(std::uint64_t Lease, core::TimePoint Now);

  /// Removes the keys of expired leases.
  void advance(core::TimePoint Now);

  /// Drops the history up to the current revision.
  void compact();

  std::uint64_t revision() const { return Revision_; }

private:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
  };

  struct Lease {
    core::Duration Time{0}; ///< Lifetime, which a renewal restarts.
    core::TimePoint EndsAt;
  };

  void remove(const std::string &Key);

  static constexpr std::size_t PageSize = 500;
  static constexpr std::size_t PageBytes = 750000; ///< 1 MB of base64.
  std::map<std::string, Entry, std::less<>> Entries_;
  std::deque<platform::StoreEvent> History_;
  std::uint64_t HistoryFrom_ = 1; ///< Revisions up to this one were compacted.
  std::uint64_t Revision_ = 1;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t NextLease_ = 1;
};

} // namespace cornellift::standin
