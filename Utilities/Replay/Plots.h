#pragma once

#include "Utilities/Replay/Comparison.h"

#include <span>
#include <string>

namespace cornellift::replay {

/// Wasted messages and response times at one message cost.
struct MessageCostPoint {
  double MessageCost = 0; ///< Milliseconds.
  double WastedPerTask = 0;
  double MeanRatio = 0;
  double P99Ratio = 0;
};

/// Writes data files and gnuplot scripts that draw the response times and the slots in use as SVG.
/// Returns false with Unavailable when the directory cannot be written.
bool writePlots(const std::string &Directory, std::span<const ComparedRun> Runs);

/// Writes the data and the script of a plot of response time over wasted messages.
bool writeMessageCostPlot(const std::string &Directory, std::span<const MessageCostPoint> Points);

} // namespace cornellift::replay
