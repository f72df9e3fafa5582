#pragma once

#include "Libraries/LibCore/MetricsRegistry.h"

namespace cornellift::entry {

/// Counters of messages to endpoints. A message that runs no task is overhead: a refused or
/// unwritten start, a status query, a fence or a status probe.
struct EndpointMetrics {
  explicit EndpointMetrics(core::MetricsRegistry &Registry)
      : Starts(Registry.counter("cornellift_starts_total")),
        Refusals(Registry.counter("cornellift_starts_refused_total")),
        Unwritten(Registry.counter("cornellift_starts_unwritten_total")),
        Uncertain(Registry.counter("cornellift_starts_uncertain_total")),
        StatusQueries(Registry.counter("cornellift_task_questions_total")),
        Fences(Registry.counter("cornellift_task_fences_total")),
        Probes(Registry.counter("cornellift_endpoint_probes_total")),
        Finished(Registry.counter("cornellift_tasks_finished_total")),
        Failed(Registry.counter("cornellift_tasks_failed_total")) {}

  core::Counter &Starts;
  core::Counter &Refusals;
  core::Counter &Unwritten;
  core::Counter &Uncertain;
  core::Counter &StatusQueries;
  core::Counter &Fences;
  core::Counter &Probes;
  core::Counter &Finished;
  core::Counter &Failed;
};

} // namespace cornellift::entry
