#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Utilities/Replay/Report.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::replay {

/// Names of the policy presets: the default, its earlier versions and the baselines.
std::vector<std::string> presetNames();

/// Returns an empty optional with NotFound for an unknown name.
std::optional<kernel::PolicyConfiguration> findPreset(std::string_view Name);

/// Result of one policy on a trace, with the data for the plots.
struct ComparedRun {
  PolicyFigures Figures;
  std::vector<double> Responses; ///< Milliseconds of completed jobs after the warm-up.
  std::vector<Sample> Samples;
};

/// Replays the trace under each preset; the names must be those of presets. The figures of the
/// first one also include p99_gain, the best baseline's p99 over its own, and, for a trace with
/// reprints, reprint_p99_over_idle.
std::vector<ComparedRun> compare(const Trace &Input, std::span<const std::string> Presets,
                                 std::optional<double> MessageCost,
                                 Planning Mode = Planning::Clairvoyant);

} // namespace cornellift::replay
