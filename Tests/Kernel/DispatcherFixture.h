#pragma once

#include "Kernel/Dispatcher.h"
#include "RoundRobinScheduler.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// One Dispatcher with two endpoints of two slots each. Collects the Dispatcher's actions.
class DispatcherFixture : public ActionSink {
public:
  static constexpr Incarnation Own{0xA11CE};

  explicit DispatcherFixture(Incarnation Name = Own) {
    auto Policy = std::make_unique<RoundRobinScheduler>();
    Scheduler = Policy.get();
    Kernel = std::make_unique<Dispatcher>(Name, std::move(Policy));
    Limits.MaximumTasksPerJob = 100;
    applyLimits();
  }

  void perform(Action Next) override { Actions.push_back(std::move(Next)); }

  void applyLimits() {
    auto Configuration = std::make_shared<KernelConfiguration>();
    Configuration->Services.push_back({"render", 1, {{"frame", {}, {}}}});
    Configuration->Teams = {{"north"}, {"south"}};
    Configuration->Endpoints.resize(2);
    for (auto &Endpoint : Configuration->Endpoints)
      Endpoint.Slots = 2;
    Configuration->Limits = Limits;
    handle(ConfigurationApplied{std::move(Configuration)});
  }

  void handle(Event Next) { Kernel->handle(std::move(Next), Now, *this); }

  void tickAfter(core::Duration Later) {
    Now += Later;
    handle(Tick{});
  }

  /// Removes and returns the collected actions of one type.
  template <typename T> std::vector<T> take() {
    std::vector<T> Result;
    for (auto &Each : Actions)
      if (auto *Wanted = std::get_if<T>(&Each))
        Result.push_back(std::move(*Wanted));
    std::erase_if(Actions, [](const Action &Each) { return std::holds_alternative<T>(Each); });
    return Result;
  }

  /// Returns the only response to the request, or null when there is none.
  std::unique_ptr<Response> response(RequestId Request) {
    std::unique_ptr<Response> Result;
    for (auto &Each : take<Respond>()) {
      if (Each.Request != Request)
        Actions.emplace_back(std::move(Each));
      else if (Result)
        throw std::logic_error("a request got two responses");
      else
        Result = std::make_unique<Response>(std::move(Each.Content));
    }
    return Result;
  }

  template <typename T> std::unique_ptr<T> outcome(RequestId Request) {
    auto Content = response(Request);
    auto *Ended = Content ? std::get_if<std::shared_ptr<const Outcome>>(Content.get()) : nullptr;
    const T *Wanted = Ended ? std::get_if<T>(Ended->get()) : nullptr;
    return Wanted ? std::make_unique<T>(*Wanted) : nullptr;
  }

  RequestId newRequest() { return RequestId{++LastRequest_}; }

  JobId newId() {
    if (Used_ == Block_.Count) {
      auto Request = newRequest();
      handle(OpenSession{Request});
      Block_ = std::get<IdentifierBlock>(*response(Request));
      Used_ = 0;
    }
    return {Block_.Issuer, Block_.First + Used_++};
  }

  static JobSpec spec(std::size_t Tasks) {
    JobSpec Spec;
    Spec.Tasks.resize(Tasks);
    JobPayload Payload;
    for (std::size_t Index = 0; Index < Tasks; ++Index)
      Payload.Tasks.push_back("payload " + std::to_string(Index));
    Spec.Payload = std::make_shared<const JobPayload>(std::move(Payload));
    return Spec;
  }

  /// Submits a job with a request that waits for one minute at most.
  RequestId submit(JobId Job, JobSpec Spec) {
    auto Request = newRequest();
    handle(SubmitJob{Request, Job, std::move(Spec), Now + std::chrono::minutes(1)});
    return Request;
  }

  RequestId askOutcome(JobId Job) {
    auto Request = newRequest();
    handle(AskOutcome{Request, Job, Now + std::chrono::minutes(1)});
    return Request;
  }

  void finish(const StartTask &Started) {
    auto Text = "result " + std::to_string(Started.Task.Index);
    handle(TaskEnded{Started.Task,
                     Started.Endpoint,
                     TaskVerdict::Finished,
                     std::make_shared<const std::string>(Text),
                     {},
                     {},
                     Started.Attempt});
  }

  void fail(const StartTask &Started) {
    handle(TaskEnded{Started.Task,
                     Started.Endpoint,
                     TaskVerdict::Failed,
                     std::make_shared<const std::string>("no memory"),
                     {},
                     {},
                     Started.Attempt});
  }

  RoundRobinScheduler *Scheduler = nullptr;
  LimitsConfiguration Limits;
  std::unique_ptr<Dispatcher> Kernel;
  core::TimePoint Now{std::chrono::seconds(1000)};
  std::vector<Action> Actions;

private:
  std::uint64_t LastRequest_ = 0;
  IdentifierBlock Block_;
  std::uint32_t Used_ = 0;
};

} // namespace cornellift::kernel
