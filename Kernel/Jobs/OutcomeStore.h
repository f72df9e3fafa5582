#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Outcome.h"
#include "Kernel/Transfer/Transfer.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// Outcomes of ended jobs. Each is kept until its deadline; fetched ones may be evicted earlier.
class OutcomeStore {
public:
  const TransferredOutcome *find(JobId Job) const;

  void keep(TransferredOutcome Ended);
  void markFetched(JobId Job);

  /// Drops outcomes past their deadline, then fetched ones, oldest first, while the total size
  /// exceeds MaximumBytes. Unfetched outcomes are not dropped to free memory.
  void evict(core::TimePoint Now, std::uint64_t MaximumBytes);

  std::uint64_t bytes() const { return Bytes_; }
  std::size_t size() const { return Kept_.size(); }

  /// Outcomes in ascending order of their identifiers.
  std::vector<TransferredOutcome> sorted() const;

  /// Memory used by the outcome, including the store's own entries.
  static std::uint64_t bytesOf(const Outcome &Content);

private:
  using Order = std::set<std::pair<core::TimePoint, JobId>>;

  Order &orderOf(const TransferredOutcome &Kept);
  void drop(JobId Job);
  void dropPassed(Order &Entries, core::TimePoint Now);

  std::unordered_map<JobId, TransferredOutcome> Kept_;
  Order Fetched_;
  Order Unfetched_;
  std::uint64_t Bytes_ = 0;
};

} // namespace cornellift::kernel
