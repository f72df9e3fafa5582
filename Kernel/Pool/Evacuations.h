#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::kernel {

/// The data centres in which no task may be started, as of one revision of the operators' keys.
struct EvacuationState {
  std::uint64_t Revision = 0; ///< Of the store; zero if the keys have not been read.
  std::set<std::string> DataCentres;
};

/// A data centre that has been evacuated, or restored.
struct EvacuationChange {
  std::string DataCentre;
  bool IsEvacuated = false;
};

/// This process's copy of the operators' evacuations, which it reads from the store or is told by
/// its peers.
///
/// Answers an evacuation under load, of which some processes cannot read: the store serves only
/// some of them, or a link between data centres is cut. The state of the higher revision wins, so
/// that neither an evacuation nor its end is undone by a process that has read the keys earlier.
class Evacuations {
public:
  /// Takes over the state if its revision is higher, and returns which data centres change by that.
  /// States of the same revision are joined.
  std::vector<EvacuationChange> learn(const EvacuationState &Told, core::TimePoint Now);

  /// Returns whether the keys have been read, here or at a peer. Until then this process cannot
  /// know where it may start tasks.
  bool isKnown() const { return State_.Revision != 0; }
  bool isEvacuated(std::string_view DataCentre) const;
  const EvacuationState &state() const { return State_; }
  /// When the state was last confirmed by a newer revision.
  core::TimePoint learnedAt() const { return LearnedAt_; }

private:
  EvacuationState State_;
  core::TimePoint LearnedAt_;
};

} // namespace cornellift::kernel
