#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Utilities/Operator/OperatorClient.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// A configuration change as requested by the operator.
struct OutgoingChange {
  std::uint64_t BaseVersion = 0;
  std::string PatchId; ///< Stays the same over all attempts.
  std::string Why;
  nlohmann::json Patch;
};

/// Result of a configuration change.
struct SentChange {
  core::ExitStatus Status = core::ExitStatus::OutcomeUnknown;
  nlohmann::json Answer; ///< From the entry VM; generated locally when no VM answered.
};

/// Sends one change to the entry VMs in turn, with the same patch id, until one of them reports
/// whether it was applied.
class ChangeSender {
public:
  ChangeSender(const OperatorClient &Client, core::TimePoint Deadline)
      : Client_(Client), Deadline_(Deadline) {}

  SentChange send(const OutgoingChange &Change) const;

private:
  const OperatorClient &Client_;
  core::TimePoint Deadline_;
};

/// Generates a random patch id.
std::string makePatchId();

} // namespace cornellift::operators
