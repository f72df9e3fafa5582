#pragma once

#include "Kernel/Jobs/JobRecord.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// The jobs that have not ended, and their deadlines.
class JobTable {
public:
  JobRecord *find(JobId Job);
  const JobRecord *find(JobId Job) const;

  JobRecord &add(JobRecord Record);
  void remove(JobId Job);

  std::size_t size() const { return Jobs_.size(); }
  std::uint64_t taskCount() const { return Tasks_; }
  std::uint64_t payloadBytes() const { return Bytes_; }

  /// Jobs in ascending order of their identifiers.
  std::vector<JobId> sortedIds() const;

  /// Jobs whose deadline has passed since the last call.
  std::vector<JobId> takePassedDeadlines(core::TimePoint Now);

  /// At most Count jobs whose deadline has not passed; successive calls rotate over all of them.
  std::vector<JobId> nextLatenessChecks(std::size_t Count);

private:
  using DeadlineKey = std::pair<core::TimePoint, JobId>;

  std::unordered_map<JobId, JobRecord> Jobs_;
  std::set<DeadlineKey> Deadlines_;
  DeadlineKey LastLatenessCheck_;
  std::uint64_t Tasks_ = 0;
  std::uint64_t Bytes_ = 0;
};

} // namespace cornellift::kernel
