#pragma once

#include "Utilities/Replay/Report.h"
#include "Utilities/Replay/Trace.h"

namespace cornellift::replay {

/// Rounds times to a tenth of a millisecond and sizes to a tenth of a processor and whole
/// megabytes, so that the trace's file is small. A size that fits its declaration still does.
void roundTrace(Trace &Content);

/// Replays the trace under every policy and adds the counts of jobs and tasks that all of them
/// agree on to its expectations: these follow from the trace alone. No run may start a task twice
/// or refuse a job untruly. Returns the default policy's figures.
PolicyFigures addAgreedCounts(Trace &Content);

} // namespace cornellift::replay
