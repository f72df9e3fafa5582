#pragma once

#include "Kernel/Membership/MemberRecord.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cornellift::kernel {

/// The member and succession records of one process. Merging is commutative and idempotent, so all
/// processes converge to the same table whatever the order in which they exchange records.
class MemberTable {
public:
  using Members = std::map<std::string, MemberRecord, std::less<>>;

  /// Dead members and successions are dropped after this time. It exceeds the lifetimes of
  /// identifiers (15 minutes) and outcomes (120 s), so no valid identifier outlives its record.
  static constexpr core::Duration Retention = std::chrono::hours(1);
  static constexpr std::size_t MaximumRecords = 4096;

  /// Returns true when the record was newer than the known one.
  bool merge(const MemberRecord &Record, core::TimePoint Now);
  bool merge(const SuccessionRecord &Record, core::TimePoint Now);

  const MemberRecord *find(std::string_view EntryVm) const;
  const MemberRecord *find(Incarnation Process) const;
  const Members &members() const { return Members_; }

  /// Follows the chain of successions; empty when the incarnation has no successor.
  std::optional<SuccessionRecord> successor(Incarnation From) const;
  std::vector<SuccessionRecord> successions() const;

  /// Equal for equal contents in every process. Excludes records that will be dropped soon, because
  /// processes do not drop them at the same time.
  std::uint64_t digest(core::TimePoint Now) const;

  void dropExpired(core::TimePoint Now);
  std::size_t size() const { return Members_.size() + Successions_.size(); }

  /// Incremented by every change.
  std::uint64_t version() const { return Version_; }

private:
  bool isExpired(const MemberRecord &Record, core::TimePoint Now) const;
  void dropOldestDead();

  Members Members_;
  std::unordered_map<std::uint64_t, SuccessionRecord> Successions_;
  std::uint64_t Version_ = 1;
  mutable std::uint64_t DigestVersion_ = 0;
  mutable core::TimePoint DigestUntil_;
  mutable std::uint64_t Digest_ = 0;
};

} // namespace cornellift::kernel
