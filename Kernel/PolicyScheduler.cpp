#include "Kernel/PolicyScheduler.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornellift::kernel {
namespace {

/// First come, first served on any free slot.
class PolicyScheduler final : public Scheduler {
public:
  void applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                          core::TimePoint /*Now*/) override {
    Configuration_ = std::move(Configuration);
    Endpoints_.resize(Configuration_->Endpoints.size());
  }

  std::optional<NotRun> admit(JobId Job, const JobSpec &Spec, core::TimePoint /*Now*/) override {
    for (std::uint32_t Index = 0; Index < Spec.Tasks.size(); ++Index)
      Waiting_.push_back({{Job, Index}, Spec.Service});
    return std::nullopt;
  }

  std::optional<Placement> next(core::TimePoint /*Now*/) override {
    for (auto Task = Waiting_.begin(); Task != Waiting_.end(); ++Task)
      if (auto Endpoint = takeSlot(Task->Service)) {
        Placement Chosen{Task->Id, *Endpoint};
        Started_[Task->Id] = Task->Service;
        Waiting_.erase(Task);
        return Chosen;
      }
    return std::nullopt;
  }

  std::optional<EndpointIndex> placeDelegated(TaskId /*Task*/, ServiceIndex Service,
                                              KindIndex /*Kind*/, TeamIndex /*Team*/,
                                              const TaskSpec & /*Spec*/,
                                              core::TimePoint /*Now*/) override {
    return takeSlot(Service);
  }

  void startRefused(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause,
                    core::TimePoint /*Now*/) override {
    if (Cause == StartRefusal::Leaving)
      at(Endpoint).Usable = false;
    auto Started = Started_.find(Task);
    if (Started != Started_.end())
      Waiting_.push_front({Task, Started->second});
    release(Task, Endpoint);
  }

  void taskEnded(const TaskEnded &Ended, core::TimePoint /*Now*/) override {
    release(Ended.Task, Ended.Endpoint);
  }

  void taskLost(TaskId Task, EndpointIndex Endpoint, core::TimePoint /*Now*/) override {
    release(Task, Endpoint);
  }

  void dropJob(JobId Job, core::TimePoint /*Now*/) override {
    std::erase_if(Waiting_, [&](const WaitingTask &Task) { return Task.Id.Job == Job; });
    std::erase_if(Started_, [&](const auto &Entry) { return Entry.first.Job == Job; });
  }

  void endpointObserved(const EndpointObserved &Observed, core::TimePoint /*Now*/) override {
    at(Observed.Endpoint).Usable = Observed.Reachability == EndpointObserved::Reach::Reachable &&
                                   Observed.State == EndpointObserved::Standing::Live;
  }

  void slotsChanged(EndpointIndex Endpoint, std::uint32_t Slots, core::TimePoint /*Now*/) override {
    at(Endpoint).Slots = Slots;
  }

  std::optional<core::TimePoint> expectedEnd(JobId /*Job*/,
                                             core::TimePoint /*Now*/) const override {
    return std::nullopt;
  }

  core::TimePoint askAt(TaskId /*Task*/, EndpointIndex /*Endpoint*/,
                        core::TimePoint Now) const override {
    return Now + std::chrono::seconds(10);
  }

  std::optional<EndpointIndex> nextProbe(core::TimePoint /*Now*/) override { return std::nullopt; }

  SchedulerLoad load() const override {
    SchedulerLoad Total;
    Total.WaitingTasks = static_cast<std::uint32_t>(Waiting_.size());
    for (const auto &Endpoint : Endpoints_) {
      Total.RunningTasks += Endpoint.Running;
      if (Endpoint.Usable && Endpoint.Running < Endpoint.Slots)
        Total.FreeSlots += Endpoint.Slots - Endpoint.Running;
    }
    return Total;
  }

private:
  struct WaitingTask {
    TaskId Id;
    ServiceIndex Service{};
  };

  struct EndpointState {
    std::uint32_t Slots = 0;
    std::uint32_t Running = 0;
    bool Usable = true;
  };

  EndpointState &at(EndpointIndex Endpoint) {
    auto Position = static_cast<std::size_t>(Endpoint);
    if (Position >= Endpoints_.size())
      Endpoints_.resize(Position + 1);
    return Endpoints_[Position];
  }

  std::optional<EndpointIndex> takeSlot(ServiceIndex Service) {
    if (!Configuration_)
      return std::nullopt;
    for (std::size_t Position = 0; Position < Configuration_->Endpoints.size(); ++Position) {
      auto &State = Endpoints_[Position];
      const auto &Endpoint = Configuration_->Endpoints[Position];
      bool Offers = false;
      for (auto Offered : Endpoint.Services)
        Offers = Offers || Offered == Service;
      if (!State.Usable || !Offers || Endpoint.Drained || State.Running >= State.Slots)
        continue;
      ++State.Running;
      return static_cast<EndpointIndex>(Position);
    }
    return std::nullopt;
  }

  void release(TaskId Task, EndpointIndex Endpoint) {
    auto &State = at(Endpoint);
    if (State.Running > 0)
      --State.Running;
    Started_.erase(Task);
  }

  std::shared_ptr<const KernelConfiguration> Configuration_;
  std::vector<EndpointState> Endpoints_;
  std::deque<WaitingTask> Waiting_;
  std::unordered_map<TaskId, ServiceIndex> Started_;
};

} // namespace

std::unique_ptr<Scheduler> makePolicyScheduler(std::uint64_t /*Seed*/) {
  return std::make_unique<PolicyScheduler>();
}

} // namespace cornellift::kernel
