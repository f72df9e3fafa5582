#include "Libraries/LibConfiguration/Document.h"

#include <algorithm>
#include <map>

namespace cornellift::configuration {
namespace {

using nlohmann::json;
using namespace kernel;

Resources toResources(const json &Value) {
  Resources Result;
  Result.Processors = Value.value("processors", Result.Processors);
  Result.MemoryMegabytes = Value.value("memory_mb", Result.MemoryMegabytes);
  Result.Accelerators = Value.value("accelerators", Result.Accelerators);
  return Result;
}

/// Converts the named members of Section to a list: first the names of Previous, at the same index
/// and with Removed set if Section lacks them, then the new names in alphabetical order.
/// Convert(Value, Old) sets all fields but Name; Old is the previous entry of the same name, or
/// null.
template <typename T, typename Function>
std::vector<T> merge(const json &Section, const std::vector<T> *Previous, Function Convert) {
  std::vector<T> Result;
  std::map<std::string, bool, std::less<>> Placed;
  auto Add = [&](const std::string &Name, const T *Old) {
    Result.push_back(Convert(Section.at(Name), Old));
    Result.back().Name = Name;
  };
  for (const auto &Old : Previous ? *Previous : std::vector<T>()) {
    Placed.emplace(Old.Name, true);
    if (Section.contains(Old.Name)) {
      Add(Old.Name, &Old);
      continue;
    }
    Result.push_back(Old);
    Result.back().Removed = true;
  }
  for (const auto &[Name, Value] : Section.items())
    if (!Placed.contains(Name))
      Add(Name, nullptr);
  return Result;
}

KindConfiguration toKind(const json &Value, const KindConfiguration *) {
  constexpr double DefaultRunTimeMilliseconds = 500;
  KindConfiguration Kind;
  Kind.ExpectedRunTime =
      core::fromMilliseconds(Value.value("expected_run_time_ms", DefaultRunTimeMilliseconds));
  Kind.Needed = toResources(Value.value("needed", json::object()));
  return Kind;
}

ServiceConfiguration toService(const json &Value, const ServiceConfiguration *Old) {
  ServiceConfiguration Service;
  Service.MessageCostMilliseconds = Value.value("message_cost_ms", Service.MessageCostMilliseconds);
  Service.Kinds = merge(Value.at("kinds"), Old ? &Old->Kinds : nullptr, toKind);
  return Service;
}

TeamConfiguration toTeam(const json &Value, const TeamConfiguration *) {
  TeamConfiguration Team;
  Team.QuotaShare = Value.value("quota_share", Team.QuotaShare);
  Team.MaximumQueuedTasks = Value.value("maximum_queued_tasks", Team.MaximumQueuedTasks);
  return Team;
}

EndpointConfiguration toEndpoint(const json &Value,
                                 const std::map<std::string, ServiceIndex> &Services) {
  EndpointConfiguration Endpoint;
  Endpoint.Address = Value.at("address");
  Endpoint.DataCentre = Value.at("data_centre");
  Endpoint.Rack = Value.at("rack");
  for (const auto &Service : Value.at("services"))
    Endpoint.Services.push_back(Services.at(Service.get<std::string>()));
  Endpoint.Slots = Value.value("slots", Endpoint.Slots);
  Endpoint.Connections = Value.value("connections", Endpoint.Connections);
  Endpoint.Capacity = toResources(Value.at("capacity"));
  Endpoint.Drained = Value.value("drained", Endpoint.Drained);
  return Endpoint;
}

PolicyConfiguration toPolicy(const json &Value) {
  PolicyConfiguration Policy;
  Policy.Placement = Value.value("placement", Policy.Placement);
  Policy.Ordering = Value.value("ordering", Policy.Ordering);
  Policy.Admission = Value.value("admission", Policy.Admission);
  Policy.AgeingPerSecond = Value.value("ageing_per_second", Policy.AgeingPerSecond);
  Policy.EvidenceHalfLifeSeconds =
      Value.value("evidence_half_life_s", Policy.EvidenceHalfLifeSeconds);
  Policy.MaximumEjectedShare = Value.value("maximum_ejected_share", Policy.MaximumEjectedShare);
  Policy.RetryShare = Value.value("retry_share", Policy.RetryShare);
  Policy.RetriesPerSecond = Value.value("retries_per_second", Policy.RetriesPerSecond);
  return Policy;
}

core::Duration secondsOr(const json &Value, const char *Field, core::Duration Default) {
  constexpr double MillisecondsPerSecond = 1000;
  if (!Value.contains(Field))
    return Default;
  return core::fromMilliseconds(Value.at(Field).get<double>() * MillisecondsPerSecond);
}

LimitsConfiguration toLimits(const json &Value) {
  LimitsConfiguration Limits;
  Limits.MaximumTasksPerJob = Value.value("maximum_tasks_per_job", Limits.MaximumTasksPerJob);
  Limits.MaximumQueuedTasks = Value.value("maximum_queued_tasks", Limits.MaximumQueuedTasks);
  Limits.MaximumQueuedBytes = Value.value("maximum_queued_bytes", Limits.MaximumQueuedBytes);
  Limits.MaximumOutcomeBytes = Value.value("maximum_outcome_bytes", Limits.MaximumOutcomeBytes);
  Limits.IdentifierLifetime = secondsOr(Value, "identifier_lifetime_s", Limits.IdentifierLifetime);
  Limits.OutcomeLifetime = secondsOr(Value, "outcome_lifetime_s", Limits.OutcomeLifetime);
  return Limits;
}

} // namespace

KernelConfiguration Document::toKernelConfiguration(std::uint64_t Version,
                                                    const KernelConfiguration *Previous) const {
  KernelConfiguration Result;
  Result.Version = Version;
  Result.Services =
      merge(Value_.at("services"), Previous ? &Previous->Services : nullptr, toService);
  Result.Teams = merge(Value_.at("teams"), Previous ? &Previous->Teams : nullptr, toTeam);
  std::map<std::string, ServiceIndex> Services;
  for (std::size_t Index = 0; Index < Result.Services.size(); ++Index)
    Services.emplace(Result.Services[Index].Name, static_cast<ServiceIndex>(Index));
  Result.Endpoints = merge(Value_.at("endpoints"), Previous ? &Previous->Endpoints : nullptr,
                           [&](const nlohmann::json &Value, const EndpointConfiguration *) {
                             return toEndpoint(Value, Services);
                           });
  // A removed endpoint finishes its running tasks, but gets no new ones.
  for (auto &Endpoint : Result.Endpoints)
    Endpoint.Drained = Endpoint.Drained || Endpoint.Removed;
  Result.Policy = toPolicy(Value_.value("policy", nlohmann::json::object()));
  Result.Limits = toLimits(Value_.value("limits", nlohmann::json::object()));
  return Result;
}

void addDelegates(KernelConfiguration &Configuration) {
  std::map<std::string, EndpointConfiguration> ByDataCentre;
  for (const auto &Endpoint : Configuration.Endpoints) {
    if (Endpoint.Remote || Endpoint.Removed || Endpoint.Drained)
      continue;
    auto &Delegate = ByDataCentre[Endpoint.DataCentre];
    auto &Capacity = Delegate.Capacity;
    Capacity.Processors = std::max(Capacity.Processors, Endpoint.Capacity.Processors);
    Capacity.MemoryMegabytes =
        std::max(Capacity.MemoryMegabytes, Endpoint.Capacity.MemoryMegabytes);
    Capacity.Accelerators = std::max(Capacity.Accelerators, Endpoint.Capacity.Accelerators);
    for (auto Service : Endpoint.Services)
      if (std::find(Delegate.Services.begin(), Delegate.Services.end(), Service) ==
          Delegate.Services.end())
        Delegate.Services.push_back(Service);
  }
  for (auto &[DataCentre, Delegate] : ByDataCentre) {
    // Configured names contain no dot, so this name cannot collide with one.
    Delegate.Name = "delegate." + DataCentre;
    Delegate.DataCentre = DataCentre;
    Delegate.Remote = true;
    Delegate.Slots = 0;
    auto Known = std::find_if(Configuration.Endpoints.begin(), Configuration.Endpoints.end(),
                              [&Name = Delegate.Name](auto &Other) { return Other.Name == Name; });
    if (Known != Configuration.Endpoints.end())
      *Known = std::move(Delegate);
    else
      Configuration.Endpoints.push_back(std::move(Delegate));
  }
}

} // namespace cornellift::configuration
