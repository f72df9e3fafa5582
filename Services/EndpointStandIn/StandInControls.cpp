#include "Services/EndpointStandIn/StandInControls.h"

#include "Libraries/LibCore/Reason.h"

#include <nlohmann/json.hpp>

namespace cornellift::standin {

bool StandInControls::apply(std::string_view Body) {
  auto Object = nlohmann::json::parse(Body, nullptr, false);
  if (!Object.is_object())
    return core::failFalse(core::ErrorKind::Malformed, "send a JSON object");
  std::lock_guard Guard(Mutex_);
  for (const auto &[Name, Value] : Object.items()) {
    if (Name == "fail_all" && Value.is_boolean()) {
      FailsEverything_ = Value.get<bool>();
    } else if (Name == "slow_factor" && Value.is_number() && Value.get<double>() > 0) {
      SlowFactor_ = Value.get<double>();
    } else if (Name == "crossed_answers" && Value.is_boolean()) {
      CrossesAnswers_ = Value.get<bool>();
    } else if (Name == "silent" && (Value == "none" || Value == "open_starts" || Value == "all")) {
      Silence_ = Value == "none"  ? Silence::None
                 : Value == "all" ? Silence::All
                                  : Silence::OpenStarts;
      ++SilencePeriod_;
    } else {
      return core::failFalse(core::ErrorKind::Malformed,
                             "unknown switch or value \"" + Name +
                                 "\"; use fail_all, slow_factor, crossed_answers or silent");
    }
  }
  Changed_.notify_all();
  return true;
}

bool StandInControls::failsEverything() const {
  std::lock_guard Guard(Mutex_);
  return FailsEverything_;
}

double StandInControls::slowFactor() const {
  std::lock_guard Guard(Mutex_);
  return SlowFactor_;
}

bool StandInControls::crossesAnswers() const {
  std::lock_guard Guard(Mutex_);
  return CrossesAnswers_;
}

std::uint64_t StandInControls::silencePeriod() const {
  std::lock_guard Guard(Mutex_);
  return SilencePeriod_;
}

void StandInControls::waitWhileSilent(std::uint64_t BeganInPeriod) {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock, [&] { return Released_ || !isSilentFor(BeganInPeriod); });
}

void StandInControls::release() {
  std::lock_guard Guard(Mutex_);
  Released_ = true;
  Changed_.notify_all();
}

bool StandInControls::isSilentFor(std::uint64_t BeganInPeriod) const {
  if (Silence_ == Silence::OpenStarts)
    return BeganInPeriod < SilencePeriod_;
  return Silence_ == Silence::All;
}

} // namespace cornellift::standin
