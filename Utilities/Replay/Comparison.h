#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Utilities/Replay/Report.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::replay {

/// Named settings of the policy: the default, its earlier versions, and the baselines.
std::vector<std::string> presetNames();

/// Returns an empty optional with NotFound for an unknown name.
std::optional<kernel::PolicyConfiguration> findPreset(std::string_view Name);

/// Outcome of one policy on a trace, with what the plots need.
struct ComparedRun {
  PolicyFigures Figures;
  std::vector<double> Responses; ///< Milliseconds of completed jobs after the warm-up.
  std::vector<Sample> Samples;
};

/// Replays the trace under each preset. Names must be known. The first one also gets p99_gain, the
/// best baseline's p99 over its own, and reprint_p99_over_idle where the trace has reprints.
std::vector<ComparedRun> compare(const Trace &Input, std::span<const std::string> Presets,
                                 std::optional<double> MessageCost,
                                 Planning Mode = Planning::Clairvoyant);

} // namespace cornellift::replay
