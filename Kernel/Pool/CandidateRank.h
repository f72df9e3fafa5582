#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace cornellift::kernel {

/// Place of an entry process in the election of a data centre's manager; the least one is elected.
/// The processes of the data centre come first, then the more powerful ones.
struct CandidateRank {
  bool IsElsewhere = false; ///< Not in the data centre.
  std::int64_t NegatedWeight = 0;
  std::string_view Vm;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const CandidateRank &) const = default;
};

/// Ranks any record of an entry process that names its data centre, weight and VM.
template <typename Record>
CandidateRank rankIn(std::string_view DataCentre, const Record &Candidate) {
  return {Candidate.DataCentre != DataCentre, -static_cast<std::int64_t>(Candidate.Weight),
          Candidate.Vm};
}

} // namespace cornellift::kernel
