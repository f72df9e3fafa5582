#include "Services/EntryDaemon/JobParser.h"

#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Reason.h"

#include <cmath>
#include <utility>

namespace cornellift::entry {
namespace {

using Json = nlohmann::json;

/// Names and identifiers are much shorter; the bound limits the length of messages and log lines.
constexpr std::size_t MaximumNameBytes = 256;

/// One hour in milliseconds; run times are seconds at most.
constexpr double MaximumRunMilliseconds = 3.6e6;

constexpr double MaximumProcessors = 1e4;
constexpr double MaximumMemoryMegabytes = 1e8;
constexpr double MaximumAccelerators = 1e3;

/// 9999-12-31 in milliseconds since 1970.
constexpr std::int64_t MaximumDeadlineMilliseconds = 253402214400000;

bool malformed(std::string Message) {
  return core::failFalse(core::ErrorKind::Malformed, std::move(Message));
}

bool readName(const Json &Value, const std::string &Field, std::string &Target) {
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty() ||
      Value.get_ref<const std::string &>().size() > MaximumNameBytes)
    return malformed(Field + ": give a text of 1 to 256 bytes");
  Target = Value.get<std::string>();
  return true;
}

bool readNumber(const Json &Value, const std::string &Field, double Maximum, double &Target) {
  if (!Value.is_number() || !(Value.get<double>() >= 0) || Value.get<double>() > Maximum)
    return malformed(Field + ": give a number from 0 to " +
                     std::to_string(static_cast<std::int64_t>(Maximum)));
  Target = Value.get<double>();
  return true;
}

bool readDeadline(const Json &Value, std::optional<core::TimePoint> &Target) {
  if (!Value.is_number_integer() || Value.get<std::int64_t>() < 0 ||
      Value.get<std::int64_t>() > MaximumDeadlineMilliseconds)
    return malformed("deadline_ms: give whole milliseconds since 1970-01-01 UTC");
  Target = core::fromWallClock(Value.get<std::int64_t>());
  return true;
}

/// A JSON string is passed on unchanged, any other value as its JSON text.
bool readPayload(Json &Value, const std::string &Field, std::string &Target) {
  Target = Value.is_string() ? std::move(Value.get_ref<std::string &>()) : Value.dump();
  if (Target.size() > MaximumPayloadBytes)
    return core::failFalse(core::ErrorKind::TooLarge,
                           Field + ": has " + std::to_string(Target.size()) +
                               " bytes; send at most 65536 and pass larger data by reference");
  return true;
}

bool readTaskField(const std::string &Name, Json &Value, const std::string &FieldPrefix,
                   kernel::TaskSpec &Spec, std::string &Payload) {
  auto Field = FieldPrefix + Name;
  if (Name == "payload")
    return readPayload(Value, Field, Payload);
  if (Name == "processors")
    return readNumber(Value, Field, MaximumProcessors, Spec.Declared.Processors);
  if (Name == "memory_mb")
    return readNumber(Value, Field, MaximumMemoryMegabytes, Spec.Declared.MemoryMegabytes);
  if (Name == "accelerators")
    return readNumber(Value, Field, MaximumAccelerators, Spec.Declared.Accelerators);
  if (Name != "run_ms")
    return malformed(Field + ": unknown field; use payload, processors, memory_mb, accelerators "
                             "and run_ms");
  double Milliseconds = 0;
  if (!readNumber(Value, Field, MaximumRunMilliseconds, Milliseconds))
    return false;
  Spec.DeclaredRunTime = core::fromMilliseconds(Milliseconds);
  return true;
}

bool readTasks(Json &Value, std::uint32_t MaximumTasks, ParsedJob &Target) {
  if (!Value.is_array() || Value.empty())
    return malformed("tasks: give an array of at least one task");
  if (Value.size() > MaximumTasks)
    return core::failFalse(core::ErrorKind::TooLarge, "tasks: a job has at most " +
                                                          std::to_string(MaximumTasks) +
                                                          " tasks; split it");
  auto Payload = std::make_shared<kernel::JobPayload>();
  Payload->Tasks.resize(Value.size());
  Target.Tasks.resize(Value.size());
  for (std::size_t Index = 0; Index < Value.size(); ++Index) {
    auto TaskName = "tasks[" + std::to_string(Index) + "]";
    if (!Value[Index].is_object())
      return malformed(TaskName + ": give an object");
    for (auto &[Name, Field] : Value[Index].items())
      if (!readTaskField(Name, Field, TaskName + ".", Target.Tasks[Index], Payload->Tasks[Index]))
        return false;
    Target.Tasks[Index].PayloadBytes = static_cast<std::uint32_t>(Payload->Tasks[Index].size());
  }
  Target.Payload = std::move(Payload);
  return true;
}

bool readField(const std::string &Name, Json &Value, std::uint32_t MaximumTasks,
               ParsedJob &Target) {
  if (Name == "id")
    return readName(Value, Name, Target.Id);
  if (Name == "service")
    return readName(Value, Name, Target.Service);
  if (Name == "kind")
    return readName(Value, Name, Target.Kind);
  if (Name == "deadline_ms")
    return readDeadline(Value, Target.Deadline);
  if (Name == "tasks")
    return readTasks(Value, MaximumTasks, Target);
  return malformed(Name.substr(0, MaximumNameBytes) +
                   ": unknown field; use id, service, kind, deadline_ms and tasks");
}

} // namespace

std::optional<ParsedJob> parseJob(std::string_view Body, std::uint32_t MaximumTasks) {
  auto Object = configuration::parseStrictJson(Body, MaximumBodyBytes);
  if (!Object)
    return std::nullopt;
  if (!Object->is_object())
    return core::fail(core::ErrorKind::Malformed, "the body is not an object; send a JSON object");
  ParsedJob Result;
  for (auto &[Name, Value] : Object->items())
    if (!readField(Name, Value, MaximumTasks, Result))
      return std::nullopt;
  if (Result.Id.empty() || Result.Service.empty() || Result.Kind.empty() || Result.Tasks.empty())
    return core::fail(core::ErrorKind::Malformed,
                      "a field is missing; give id, service, kind and tasks");
  return Result;
}

} // namespace cornellift::entry
