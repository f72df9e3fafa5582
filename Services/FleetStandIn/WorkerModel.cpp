#include "Services/FleetStandIn/WorkerModel.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornellift::standin {
namespace {

using kernel::CommandVerdict;
using kernel::RunEnd;

/// Maximum lease that a worker accepts, and the time that a stop takes.
constexpr std::int64_t MaximumLeaseMilliseconds = 1000;
constexpr core::Duration StopTime = std::chrono::milliseconds(20);
/// Worker's clock at its start. Not zero: tasks start some time after the worker does.
constexpr std::int64_t InitialClockMilliseconds = 1000;
constexpr double RoundingSlack = 1e-6;

std::string nameOf(const kernel::TaskRef &Task) {
  return kernel::formatJobKey(Task.Job) + "." + std::to_string(Task.Step) + "." +
         std::to_string(Task.Index);
}

std::optional<double> numberAfter(std::string_view Text, std::string_view Word) {
  auto Position = Text.find(Word);
  if (Position == std::string_view::npos)
    return std::nullopt;
  double Value = 0;
  auto Parsed =
      std::from_chars(Text.data() + Position + Word.size(), Text.data() + Text.size(), Value);
  return Parsed.ec == std::errc() ? std::optional(Value) : std::nullopt;
}

} // namespace

TaskProfile TaskProfile::parse(std::string_view Specification) {
  TaskProfile Profile;
  Profile.RunMilliseconds = numberAfter(Specification, "run_ms=").value_or(Profile.RunMilliseconds);
  Profile.Cores = numberAfter(Specification, "cores=").value_or(Profile.Cores);
  Profile.Fails = Specification.find("fail") != std::string_view::npos;
  Profile.RemoteFactor = numberAfter(Specification, "away=").value_or(1);
  constexpr std::string_view RackWord = "rack=";
  auto Position = Specification.find(RackWord);
  if (Position != std::string_view::npos) {
    auto Name = Specification.substr(Position + RackWord.size());
    Profile.DataRack = Name.substr(0, Name.find(' '));
  }
  return Profile;
}

WorkerModel::WorkerModel(kernel::WorkerEntry Entry, double Speed, core::TimePoint Now)
    : Entry_(std::move(Entry)), Speed_(Speed), StartedAt_(Now), AdvancedTo_(Now) {
  Entry_.StartedMilliseconds = startedMilliseconds();
}

std::int64_t WorkerModel::startedMilliseconds() const {
  return 1 + StartedAt_.time_since_epoch().count() / 1000;
}

std::int64_t WorkerModel::clock(core::TimePoint Now) const {
  return InitialClockMilliseconds + (Now - StartedAt_).count() / 1000;
}

bool WorkerModel::acceptFencingToken(std::uint64_t Token) {
  if (Token < Token_)
    return false;
  Token_ = Token;
  return true;
}

void WorkerModel::extendLease(std::int64_t Until, core::TimePoint Now) {
  LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clock(Now) + MaximumLeaseMilliseconds));
}

kernel::CommandReply WorkerModel::start(const kernel::StartCommand &Command, core::TimePoint Now) {
  advance(Now);
  auto Reply = [&](CommandVerdict Verdict) { return kernel::CommandReply{Verdict, clock(Now)}; };
  if (Faults_.IsUnhealthy)
    return {CommandVerdict::Unhealthy, std::nullopt};
  if (!acceptFencingToken(Command.FencingToken))
    return Reply(CommandVerdict::Fenced);
  if (Command.StartBy < clock(Now))
    return Reply(CommandVerdict::TooLate);
  extendLease(Command.StartBy, Now);
  for (const auto &Run : Running_)
    if (record(Run).Task == Command.Task && record(Run).Number == Command.Run)
      return Reply(CommandVerdict::Accepted);
  auto Refused = RefusedUpTo_.find(nameOf(Command.Task));
  if (Refused != RefusedUpTo_.end() && Command.Run <= Refused->second)
    return Reply(CommandVerdict::Outdated);
  auto Profile = TaskProfile::parse(Command.Specification);
  double Used = 0;
  for (const auto &Run : Running_)
    Used += Run.Profile.Cores;
  if (Used + Profile.Cores > Entry_.Capacity.Processors + RoundingSlack ||
      Running_.size() >= Entry_.Slots)
    return Reply(CommandVerdict::NoCapacity);
  if (!Profile.DataRack.empty() && !Entry_.hasLabel(Profile.DataRack))
    Profile.RunMilliseconds *= Profile.RemoteFactor;
  History_.push_back({Command.Task, Command.Run, Now, std::nullopt, RunEnd::Done,
                      startedMilliseconds(), Command.FencingToken});
  Running_.push_back({History_.size() - 1, Profile, 0, {}, false});
  return Reply(CommandVerdict::Accepted);
}

kernel::CommandReply WorkerModel::stop(const kernel::StopCommand &Command, core::TimePoint Now) {
  advance(Now);
  if (!acceptFencingToken(Command.FencingToken))
    return {CommandVerdict::Fenced, clock(Now)};
  auto &Refused = RefusedUpTo_[nameOf(Command.Task)];
  Refused = std::max(Refused, Command.Run);
  for (auto &Run : Running_) {
    if (record(Run).Task != Command.Task || record(Run).Number != Command.Run || Run.IsStopping)
      continue;
    Run.IsStopping = true;
    Run.StoppingUntil = Now + StopTime;
  }
  return {CommandVerdict::Accepted, clock(Now)};
}

kernel::PollReply WorkerModel::poll(const kernel::PollCommand &Command, core::TimePoint Now) {
  advance(Now);
  if (!acceptFencingToken(Command.FencingToken))
    return {CommandVerdict::Fenced, std::nullopt};
  if (Command.LeaseUntil && *Command.LeaseUntil >= clock(Now))
    extendLease(*Command.LeaseUntil, Now);
  while (!Ended_.empty() && Ended_.front().Number <= Command.LastSeen)
    Ended_.pop_front();
  kernel::WorkerReport Report;
  Report.ClockMilliseconds = clock(Now);
  Report.StartedMilliseconds = startedMilliseconds();
  for (const auto &Run : Running_)
    Report.Running.push_back({record(Run).Task, record(Run).Number,
                              std::floor(100 * Run.Progress / Run.Profile.RunMilliseconds)});
  Report.Ended.assign(Ended_.begin(), Ended_.end());
  return {CommandVerdict::Accepted, std::move(Report)};
}

bool WorkerModel::hasEndAfter(std::uint64_t Number) const {
  return !Ended_.empty() && Ended_.back().Number > Number;
}

void WorkerModel::end(std::size_t Position, RunEnd How, core::TimePoint Now) {
  auto &Ended = record(Running_[Position]);
  Ended.EndedAt = Now;
  Ended.How = How;
  auto &Refused = RefusedUpTo_[nameOf(Ended.Task)];
  Refused = std::max(Refused, Ended.Number);
  Ended_.push_back({++LastEnd_, Ended.Task, Ended.Number, How});
  Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(Position));
}

void WorkerModel::advance(core::TimePoint Now) {
  double Elapsed = core::toMilliseconds(Now - AdvancedTo_);
  AdvancedTo_ = std::max(AdvancedTo_, Now);
  for (std::size_t Position = 0; Position < Running_.size();) {
    auto &Run = Running_[Position];
    if (!Faults_.IsStalled)
      Run.Progress += std::max(0.0, Elapsed) * Speed_ / Faults_.Slowdown;
    if (Run.IsStopping && Now >= Run.StoppingUntil)
      end(Position, RunEnd::Stopped, Now);
    else if (clock(Now) > LeaseUntil_)
      end(Position, RunEnd::Lapsed, Now);
    else if (Run.Progress >= Run.Profile.RunMilliseconds)
      end(Position, Run.Profile.Fails || Faults_.FailsAll ? RunEnd::Failed : RunEnd::Done, Now);
    else
      ++Position;
  }
}

void WorkerModel::restart(core::TimePoint Now) {
  for (const auto &Run : Running_) {
    record(Run).EndedAt = Now;
    record(Run).How = RunEnd::Broken;
  }
  Running_.clear();
  Ended_.clear();
  RefusedUpTo_.clear();
  Token_ = 0;
  LeaseUntil_ = 0;
  LastEnd_ = 0;
  StartedAt_ = Now;
  AdvancedTo_ = Now;
  Entry_.StartedMilliseconds = startedMilliseconds();
}

} // namespace cornellift::standin
