#include "Services/PoolDaemon/PlacementReport.h"

#include <cmath>
#include <cstdint>
#include <optional>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace cornellift::pool {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// What no manager can know before the job has come.
constexpr std::string_view Unknowns[] = {
    "the tasks' real run times: expected ends follow from typical_ms, which is an estimate",
    "whether other managers accept delegated tasks: their workers are shown as last reported",
    "where the tasks after the first of a step go: each start changes what is free",
    "what other VMs have accepted and not yet submitted, and what arrives meanwhile",
    "whether a job of the same identifier is open at another VM: the request would join it",
};

void text(Writer &Out, std::string_view Value) {
  Out.String(Value.empty() ? "" : Value.data(), static_cast<rapidjson::SizeType>(Value.size()));
}

void member(Writer &Out, std::string_view Name, std::string_view Value) {
  text(Out, Name);
  text(Out, Value);
}

void member(Writer &Out, std::string_view Name, bool Value) {
  text(Out, Name);
  Out.Bool(Value);
}

void member(Writer &Out, std::string_view Name, std::uint64_t Value) {
  text(Out, Name);
  Out.Uint64(Value);
}

/// Milliseconds are rounded to tenths; values that JSON cannot represent become null.
void member(Writer &Out, std::string_view Name, double Milliseconds) {
  constexpr double Precision = 10;
  text(Out, Name);
  if (std::isfinite(Milliseconds))
    Out.Double(std::round(Milliseconds * Precision) / Precision);
  else
    Out.Null();
}

void member(Writer &Out, std::string_view Name, const std::optional<double> &Milliseconds) {
  member(Out, Name, Milliseconds.value_or(NAN));
}

template <typename Range, typename Write>
void array(Writer &Out, std::string_view Name, const Range &Values, Write WriteValue) {
  text(Out, Name);
  Out.StartArray();
  for (const auto &Value : Values)
    WriteValue(Value);
  Out.EndArray();
}

void writeWait(Writer &Out, const kernel::DataWaitOutlook &Wait) {
  text(Out, "wait");
  Out.StartObject();
  member(Out, "room_ms", Wait.RoomMilliseconds);
  member(Out, "room_error_ms", Wait.RoomError);
  member(Out, "near_end_ms", Wait.RoomMilliseconds ? Wait.NearEndMilliseconds : NAN);
  member(Out, "tasks", std::uint64_t{Wait.Tasks});
  member(Out, "deadline_ms", Wait.Tasks > 0 ? Wait.DeadlineMilliseconds : NAN);
  member(Out, "expected_gain_ms", Wait.ExpectedGain);
  member(Out, "why_not", Wait.WhyNot);
  Out.EndObject();
}

void writeStep(Writer &Out, const PlacementReportContext &Context,
               const kernel::StepExplanation &Step) {
  Out.StartObject();
  member(Out, "tasks", std::uint64_t{Step.Tasks});
  member(Out, "data_rack", std::string_view(Step.DataRack));
  member(Out, "required_label", std::string_view(Step.RequiredLabel));
  member(Out, "typical_ms", Step.TypicalMilliseconds);
  member(Out, "outlook", kernel::outlookName(Step.Outlook));
  member(Out, "eligible_total", std::uint64_t{Step.EligibleCount});
  member(Out, "places", Step.Places);
  array(Out, "eligible", Step.Eligible, [&](const kernel::EligibleWorker &Each) {
    Out.StartObject();
    member(Out, "worker", std::string_view(Each.Id));
    member(Out, "data_centre", std::string_view(Each.DataCentre));
    member(Out, "manager",
           std::string_view(Each.Manager ? Context.VmOf(*Each.Manager)
                                         : std::string(Context.Manager)));
    member(Out, "end_ms", Each.EndMilliseconds);
    member(Out, "places", std::uint64_t{Each.Places});
    member(Out, "near_data", Each.IsNearData);
    member(Out, "cold", Each.IsCold);
    member(Out, "rack_wanted", Each.IsRackWanted);
    Out.EndObject();
  });
  array(Out, "excluded", Step.Excluded, [&](const auto &Group) {
    Out.StartObject();
    member(Out, "why", kernel::exclusionName(Group.first));
    member(Out, "workers", std::uint64_t{Group.second.Count});
    array(Out, "examples", Group.second.Examples, [&](const std::string &Id) { text(Out, Id); });
    Out.EndObject();
  });
  if (Step.Wait)
    writeWait(Out, *Step.Wait);
  Out.EndObject();
}

} // namespace

std::string renderPlacement(const PlacementReportContext &Context,
                            const kernel::PlacementExplanation &Explained) {
  rapidjson::StringBuffer Buffer;
  Writer Out(Buffer);
  Out.StartObject();
  member(Out, "manager", Context.Manager);
  member(Out, "route", Context.Route);
  member(Out, "service", Context.Service);
  member(Out, "configuration", Context.Configuration);
  member(Out, "admission", kernel::admissionName(Explained.Admission));
  member(Out, "objective_ms", Explained.ObjectiveMilliseconds);
  member(Out, "useful_ms", Explained.UsefulMilliseconds);
  member(Out, "waiting_jobs", std::uint64_t{Explained.WaitingJobs});
  member(Out, "jobs_ahead", std::uint64_t{Explained.JobsAhead});
  member(Out, "wait_ms", Explained.WaitMilliseconds);
  member(Out, "steps_total", std::uint64_t{Explained.StepCount});
  array(Out, "steps", Explained.Steps,
        [&](const kernel::StepExplanation &Step) { writeStep(Out, Context, Step); });
  array(Out, "unknown", Unknowns, [&](std::string_view Each) { text(Out, Each); });
  Out.EndObject();
  return {Buffer.GetString(), Buffer.GetSize()};
}

std::string renderPlacementFailure(std::string_view Message, std::string_view Manager) {
  rapidjson::StringBuffer Buffer;
  Writer Out(Buffer);
  Out.StartObject();
  member(Out, "message", Message);
  if (!Manager.empty())
    member(Out, "manager", Manager);
  Out.EndObject();
  return {Buffer.GetString(), Buffer.GetSize()};
}

} // namespace cornellift::pool
