#pragma once

#include "Utilities/Replay/Report.h"
#include "Utilities/Replay/Trace.h"

namespace cornellift::replay {

/// Rounds times to a tenth of a millisecond and sizes to a tenth of a processor and whole
/// megabytes, to keep the trace's file small. A size that fits its declaration still does.
void roundTrace(Trace &Content);

/// Replays the trace under every policy and adds to its expectations the counts of jobs and tasks
/// that are equal under all policies, since these follow from the trace alone. Also expects zero
/// double starts, untrue refusals and unanswered jobs. Returns the default policy's figures.
PolicyFigures addPolicyIndependentCounts(Trace &Content);

} // namespace cornellift::replay
