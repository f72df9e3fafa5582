#include "Utilities/Replay/Recording.h"

#include "Utilities/Replay/Comparison.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cornellift::replay {
namespace {

constexpr double Tenths = 10;

double nearest(double Value) { return std::round(Value * Tenths) / Tenths; }

kernel::Resources roundUp(const kernel::Resources &Size) {
  return {std::ceil(Size.Processors * Tenths) / Tenths, std::ceil(Size.MemoryMegabytes),
          Size.Accelerators};
}

kernel::Resources roundDown(const kernel::Resources &Size) {
  return {std::floor(Size.Processors * Tenths) / Tenths, std::floor(Size.MemoryMegabytes),
          Size.Accelerators};
}

void setBounds(Trace &Content, const char *Metric, double Value) {
  std::erase_if(Content.Expectations,
                [&](const Expectation &Known) { return Known.Metric == Metric; });
  Content.Expectations.push_back({Metric, Value, Value});
}

} // namespace

void roundTrace(Trace &Content) {
  Content.WarmUp = nearest(Content.WarmUp);
  Content.BurstEnd = nearest(Content.BurstEnd);
  for (auto &Worker : Content.Workers)
    Worker.Speed = nearest(Worker.Speed);
  for (auto &Change : Content.Changes) {
    Change.At = nearest(Change.At);
    if (auto *Speed = std::get_if<SpeedChange>(&Change.Content))
      Speed->Speed = nearest(Speed->Speed);
  }
  for (auto &Job : Content.Jobs) {
    Job.At = nearest(Job.At);
    if (Job.Deadline)
      Job.Deadline = nearest(*Job.Deadline);
    for (auto &Task : Job.Tasks) {
      Task.True = nearest(Task.True);
      Task.Declared = nearest(Task.Declared);
      // Rounds the two sizes apart, so that they compare as before.
      bool Fits = Task.TrueSize.MemoryMegabytes <= Task.DeclaredSize.MemoryMegabytes &&
                  Task.TrueSize.Processors <= Task.DeclaredSize.Processors;
      Task.DeclaredSize = Fits ? roundUp(Task.DeclaredSize) : roundDown(Task.DeclaredSize);
      Task.TrueSize = Fits ? roundDown(Task.TrueSize) : roundUp(Task.TrueSize);
    }
  }
}

PolicyFigures addPolicyIndependentCounts(Trace &Content) {
  constexpr std::array Counts{"jobs",    "completed",     "cancelled",
                              "refused", "resubmissions", "tasks"};
  auto Runs = compare(Content, presetNames(), std::nullopt);
  for (const char *Metric : Counts) {
    double Value = Runs.front().Figures.Values[Metric];
    if (std::all_of(Runs.begin(), Runs.end(),
                    [&](ComparedRun &Run) { return Run.Figures.Values[Metric] == Value; }))
      setBounds(Content, Metric, Value);
  }
  for (const char *Metric : {"double_starts", "untrue_refusals", "unanswered_jobs"})
    setBounds(Content, Metric, 0);
  return Runs.front().Figures;
}

} // namespace cornellift::replay
