#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Utilities/Operator/OperatorClient.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// A caller's request of which is asked where its job would go.
struct AskedRequest {
  std::string Host;
  std::string Path;                  ///< The route's prefix, with or without a job identifier.
  std::int64_t WaitMilliseconds = 0; ///< How long the caller waits; zero if as its route says.
  std::string Body;
};

struct PlacementAnswer {
  core::ExitStatus Status = core::ExitStatus::Unreachable;
  std::string Problem;   ///< With a remedy; empty on success.
  nlohmann::json Report; ///< On success.
};

/// Asks entry VMs in turn, at the addresses of their metrics, where a job would go. If the first
/// one that answers submits its jobs to the manager of another VM, that VM is asked.
class PlacementQuestion {
public:
  PlacementQuestion(const OperatorClient &Client, core::TimePoint Deadline)
      : Client_(Client), Deadline_(Deadline) {}

  PlacementAnswer ask(const AskedRequest &Asked) const;

private:
  PlacementAnswer askManager(const std::string &Target, const AskedRequest &Asked,
                             const std::string &Manager) const;

  const OperatorClient &Client_;
  core::TimePoint Deadline_;
};

/// Returns whether the text can be part of the question's address as it is.
bool isPlainAddressPart(const std::string &Text);

} // namespace cornellift::operators
