#pragma once

#include "Libraries/LibConfiguration/Head.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::configuration {

/// The most recent consecutive audit records, for peers that are a few versions behind. Bounded in
/// number and bytes.
class ChangeHistory {
public:
  /// At 3,500 changes a day, enough for a process that missed less than 10 minutes.
  static constexpr std::size_t MaximumRecords = 32;
  static constexpr std::size_t MaximumBytes = 64 << 10;

  /// Adds the record of a version. If it does not directly follow the last one, the earlier records
  /// are dropped.
  void add(const Change &Record);

  /// The records after a version, in order; empty when there is none or one of them is not kept.
  std::optional<std::vector<std::string>> since(std::uint64_t Version) const;

private:
  std::deque<std::string> Records_;
  std::uint64_t Last_ = 0; ///< Version of the last record.
  std::size_t Bytes_ = 0;
};

} // namespace cornellift::configuration
