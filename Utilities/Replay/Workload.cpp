#include "Utilities/Replay/Workload.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <span>
#include <string_view>
#include <utility>

namespace cornellift::replay {
namespace {

using Json = nlohmann::json;

/// One-way delay in milliseconds between two processes of one machine.
constexpr double LoopbackOneWay = 0.1;
/// Ratio of the median of the true run times to the configured run time, which is a mean.
constexpr double MedianOverExpected = 0.85;

/// A JobShape with plain members only. A braced list of shapes would be a temporary array of
/// strings, whose cleanup g++ 12 reports as a use of uninitialised memory at -O3.
struct ShapeRow {
  std::string_view Kind;
  double Expected;
  kernel::Resources Needed;
  double Weight;
  double SmallestJob;
  double LargestJob;
  double Median;
  double Deviation;
  std::string_view Label;
};

constexpr std::array<ShapeRow, 2> SlipworksShapes{
    {{"payslip", 350, {1, 2048, 0}, 0.9, 20, 1400, 300, 0.5, "batch"},
     {"reprint", 300, {1, 2048, 0}, 0.1, 1, 1, 250, 0.4, "reprint"}}};

constexpr std::array<ShapeRow, 3> AlarconShapes{
    {{"slot_confirmation", 120, {2, 1024, 0}, 0.5, 1, 4, 100, 0.4, "confirmation"},
     {"ceiling_check", 250, {4, 4096, 0}, 0.3, 4, 32, 220, 0.5, "check"},
     {"price_quote", 450, {4, 8192, 0}, 0.2, 10, 200, 400, 0.6, "quote"}}};

/// Job shapes of the kinds in examples/. The document supplies the run times.
constexpr std::array<ShapeRow, 5> KnownShapes{
    {{"branch-batch", 0, {}, 0.9, 20, 1400, 0, 0.5, "batch"},
     {"reprint", 0, {}, 0.1, 1, 1, 0, 0.4, "reprint"},
     {"visit-confirmation", 0, {}, 0.5, 1, 4, 0, 0.4, "confirmation"},
     {"ceiling-check", 0, {}, 0.3, 4, 32, 0, 0.5, "check"},
     {"price-quote", 0, {}, 0.2, 10, 200, 0, 0.6, "quote"}}};

JobShape toShape(const ShapeRow &Row) {
  JobShape Result;
  Result.Kind.Name = Row.Kind;
  Result.Kind.Expected = Row.Expected;
  Result.Kind.Needed = Row.Needed;
  Result.Weight = Row.Weight;
  Result.SmallestJob = Row.SmallestJob;
  Result.LargestJob = Row.LargestJob;
  Result.Median = Row.Median;
  Result.Deviation = Row.Deviation;
  Result.Label = Row.Label;
  return Result;
}

std::vector<JobShape> toShapes(std::span<const ShapeRow> Rows) {
  std::vector<JobShape> Result;
  std::transform(Rows.begin(), Rows.end(), std::back_inserter(Result), toShape);
  return Result;
}

kernel::Resources sizeOf(const Json &Value) {
  return {Value.value("processors", 0.0), Value.value("memory_mb", 0.0),
          Value.value("accelerators", 0.0)};
}

void addService(const std::string &Name, const Json &Value, Workload &Result) {
  auto Index = static_cast<std::uint32_t>(Result.Services.size());
  Result.Services.push_back({Name, Value.value("message_cost_ms", 1.0), {}});
  for (const auto &[Kind, Fields] : Value.at("kinds").items()) {
    const auto *Known =
        std::find_if(KnownShapes.begin(), KnownShapes.end(),
                     [&Wanted = Kind](const ShapeRow &Row) { return Row.Kind == Wanted; });
    if (Known == KnownShapes.end())
      throw std::invalid_argument("no job shape is defined for kind \"" + Kind + "\"");
    auto Shape = toShape(*Known);
    Shape.Service = Index;
    Shape.Kind.Expected = Fields.at("expected_run_time_ms").get<double>();
    Shape.Kind.Needed = sizeOf(Fields.at("needed"));
    Shape.Median = MedianOverExpected * Shape.Kind.Expected;
    Result.Shapes.push_back(std::move(Shape));
  }
}

/// Uses the data centre with the most endpoints, because an entry VM owns the slots of its own data
/// centre only.
void addWorkers(const Json &Endpoints, std::uint32_t Count, Workload &Result) {
  std::map<std::string, std::vector<TraceWorker>> DataCentres;
  for (const auto &[Name, Fields] : Endpoints.items()) {
    auto DataCentre = Fields.at("data_centre").get<std::string>();
    DataCentres[DataCentre].push_back(
        {Name, DataCentre, Fields.value("slots", 8U), sizeOf(Fields.at("capacity")), 1});
  }
  std::vector<TraceWorker> Most;
  for (const auto &[Name, Workers] : DataCentres)
    if (Workers.size() > Most.size())
      Most = Workers;
  if (Count > Most.size())
    throw std::invalid_argument("its largest data centre has " + std::to_string(Most.size()) +
                                " endpoints; lower --workers");
  Result.Workers.assign(Most.begin(), Most.begin() + Count);
}

} // namespace

Workload slipworksWorkload() {
  return {
      {{"print", 20, {}}},
      0.5,
      {"ikeja", "yaba", "apapa", "lekki"},
      {16, 65536, 0},
      {{"surulere", 1}, {"agege", 1}, {"mushin", 1}, {"epe", 1}, {"badagry", 1}, {"counter", 1}},
      toShapes(SlipworksShapes),
      {}};
}

Workload alarconWorkload() {
  return {{{"fans", 1, {}}},
          1.4,
          {"leon", "celaya", "irapuato", "queretaro"},
          {64, 131072, 0},
          {{"retail", 1}, {"projects", 1}, {"service", 1}},
          toShapes(AlarconShapes),
          {}};
}

std::optional<Workload> configuredWorkload(const Json &Document, std::uint32_t Workers) {
  Workload Result;
  Result.OneWay = LoopbackOneWay;
  try {
    for (const auto &[Name, Value] : Document.at("services").items())
      addService(Name, Value, Result);
    for (const auto &[Name, Value] : Document.at("teams").items())
      Result.Teams.push_back({Name, Value.value("quota_share", 1.0)});
    addWorkers(Document.at("endpoints"), Workers, Result);
  } catch (const std::exception &Error) {
    return core::fail(core::ErrorKind::Malformed,
                      std::string("the configuration cannot be scaled: ") + Error.what());
  }
  std::stable_partition(Result.Teams.begin(), Result.Teams.end(),
                        [](const TraceTeam &Team) { return Team.Name != "counter"; });
  Result.Capacity = Result.Workers.front().Capacity;
  return Result;
}

Json scaledDocument(Json Document, const Trace &Content, int FirstPort,
                    const kernel::PolicyConfiguration &Policy) {
  Json Endpoints = Json::object();
  for (std::size_t Index = 0; Index < Content.Workers.size(); ++Index) {
    const auto &Name = Content.Workers[Index].Name;
    auto Endpoint = Document.at("endpoints").at(Name);
    Endpoint["address"] = "127.0.0.1:" + std::to_string(FirstPort + static_cast<int>(Index));
    Endpoints[Name] = std::move(Endpoint);
  }
  Document["endpoints"] = std::move(Endpoints);
  auto &Fields = Document["policy"];
  Fields["placement"] = Policy.Placement;
  Fields["ordering"] = Policy.Ordering;
  Fields["admission"] = Policy.Admission;
  Fields["maximum_ejected_share"] = Policy.MaximumEjectedShare;
  return Document;
}

} // namespace cornellift::replay
