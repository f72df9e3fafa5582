#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace cornellift::kernel {

/// Rank of an entry process in the election of a data centre's manager; the lowest rank is elected.
/// Processes in the data centre itself rank before others, then more powerful ones before weaker.
struct CandidateRank {
  bool IsElsewhere = false; ///< The process runs in another data centre.
  std::int64_t NegatedWeight = 0;
  std::string_view Vm;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const CandidateRank &) const = default;
};

/// Computes the rank of any record with the members DataCentre, Weight and Vm.
template <typename Record>
CandidateRank rankIn(std::string_view DataCentre, const Record &Candidate) {
  return {Candidate.DataCentre != DataCentre, -static_cast<std::int64_t>(Candidate.Weight),
          Candidate.Vm};
}

} // namespace cornellift::kernel
