#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Utilities/Operator/OperatorClient.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// A change as the operator gives it.
struct OutgoingChange {
  std::uint64_t BaseVersion = 0;
  std::string PatchId; ///< The same for every attempt.
  std::string Why;
  nlohmann::json Patch;
};

/// What became of a change.
struct SentChange {
  core::ExitStatus Status = core::ExitStatus::OutcomeUnknown;
  nlohmann::json Answer; ///< As the entry VM gave it, or made here when none did.
};

/// Sends one change to the entry VMs in turn, with the same patch id, until one says whether it was
/// applied.
class ChangeSender {
public:
  ChangeSender(const OperatorClient &Client, core::TimePoint Deadline)
      : Client_(Client), Deadline_(Deadline) {}

  SentChange send(const OutgoingChange &Change) const;

private:
  const OperatorClient &Client_;
  core::TimePoint Deadline_;
};

/// A random patch id.
std::string makePatchId();

} // namespace cornellift::operators
