#include "Libraries/LibEndpoint/HttpEndpointMessages.h"

#include <nlohmann/json.hpp>

namespace cornellift::endpoint::detail {
namespace {

using Json = nlohmann::json;

/// Approximate size of a start request without its payload; reserved in advance.
constexpr std::size_t StartOverheadBytes = 512;

std::string textField(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>() : std::string();
}

double numberField(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number() ? Found->get<double>() : 0;
}

std::uint32_t countField(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned() ? Found->get<std::uint32_t>() : 0;
}

kernel::Resources usedResources(const Json &Object) {
  auto Found = Object.find("used");
  if (Found == Object.end() || !Found->is_object())
    return {};
  return {numberField(*Found, "processors"), numberField(*Found, "memory_mb"),
          numberField(*Found, "accelerators")};
}

/// Returns an empty optional when the text is not a complete JSON object.
std::optional<Json> parseObject(std::string_view Body) {
  auto Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

std::optional<Ended> parseEnded(Json &Object) {
  auto State = textField(Object, "state");
  bool Finished = State == "finished";
  if (!Finished && State != "failed")
    return std::nullopt;
  auto Text = Object.find(Finished ? "result" : "message");
  if (Text == Object.end() || !Text->is_string())
    return std::nullopt;
  return Ended{Finished ? kernel::TaskVerdict::Finished : kernel::TaskVerdict::Failed,
               std::make_shared<const std::string>(std::move(Text->get_ref<std::string &>())),
               core::fromMilliseconds(numberField(Object, "run_ms")), usedResources(Object)};
}

std::optional<kernel::StartRefusal> parseRefusalCause(std::string_view Cause) {
  if (Cause == "no_slot")
    return kernel::StartRefusal::NoSlot;
  if (Cause == "leaving")
    return kernel::StartRefusal::Leaving;
  if (Cause == "fenced")
    return kernel::StartRefusal::Fenced;
  if (Cause == "invalid")
    return kernel::StartRefusal::Invalid;
  // The endpoint has restarted; a retry uses the new boot identifier.
  if (Cause == "other_boot")
    return kernel::StartRefusal::NotSent;
  return std::nullopt;
}

} // namespace

/// Writes the fields directly: this runs for each task, and a JSON object would be built only to be
/// serialized.
std::string renderStart(const StartRequest &Request) {
  std::string Text = "{";
  Text.reserve(Request.Payload.size() + StartOverheadBytes);
  auto Add = [&Text](std::string_view Name, const auto &Value) {
    if (Text.size() > 1)
      Text += ',';
    Text.append(1, '"').append(Name).append("\":");
    Text += Json(Value).dump(-1, ' ', false, Json::error_handler_t::replace);
  };
  Add("task_count", Request.TaskCount);
  Add("attempt", Request.Attempt);
  Add("job_fingerprint", Request.Fingerprint);
  Add("payload", Request.Payload);
  if (!Request.Boot.empty())
    Add("boot", Request.Boot);
  Add("service", Request.Service);
  Add("kind", Request.Kind);
  Add("team", Request.Team);
  Add("processors", Request.Declared.Processors);
  Add("memory_mb", Request.Declared.MemoryMegabytes);
  Add("accelerators", Request.Declared.Accelerators);
  return Text + '}';
}

std::optional<StartAnswer> parseStartAnswer(std::string_view Body, std::string_view Task,
                                            std::string_view Boot) {
  auto Object = parseObject(Body);
  if (!Object || textField(*Object, "task") != Task)
    return std::nullopt;
  // A refusal with another boot identifier counts as well: a restarted endpoint received the
  // request and did not start the task, and the request was sent only once.
  if (textField(*Object, "state") == "refused") {
    auto Cause = parseRefusalCause(textField(*Object, "cause"));
    if (!Cause)
      return std::nullopt;
    return Refused{*Cause};
  }
  if (textField(*Object, "boot") != Boot)
    return std::nullopt;
  if (auto Result = parseEnded(*Object))
    return std::move(*Result);
  return std::nullopt;
}

std::optional<TaskAnswer> parseTaskAnswer(std::string_view Body, std::string_view Task,
                                          std::string_view Boot) {
  auto Object = parseObject(Body);
  if (!Object || textField(*Object, "task") != Task)
    return std::nullopt;
  if (Boot.empty() || textField(*Object, "boot") != Boot)
    return NoRecord{};
  if (auto Result = parseEnded(*Object))
    return std::move(*Result);
  auto State = textField(*Object, "state");
  if (State == "running")
    return Running{};
  if (State == "not_started")
    return NotStartedAndFenced{};
  if (State == "unknown")
    return NoRecord{};
  return std::nullopt;
}

std::optional<JobRecords> parseJobRecords(std::string_view Body, std::string_view Job) {
  auto Object = parseObject(Body);
  if (!Object || textField(*Object, "job") != Job || !Object->contains("tasks") ||
      !(*Object)["tasks"].is_array())
    return std::nullopt;
  JobRecords Result{countField(*Object, "task_count"),
                    textField(*Object, "team"),
                    Object->value("job_fingerprint", std::uint64_t{0}),
                    {}};
  for (auto &Entry : (*Object)["tasks"]) {
    if (!Entry.is_object() || !Entry.contains("index"))
      return std::nullopt;
    JobRecord Record{countField(Entry, "index"), Running{}};
    if (auto End = parseEnded(Entry))
      Record.State = std::move(*End);
    else if (textField(Entry, "state") != "running")
      return std::nullopt;
    Result.Tasks.push_back(std::move(Record));
  }
  return Result;
}

std::optional<EndpointStatus> parseStatus(std::string_view Body) {
  auto Object = parseObject(Body);
  if (!Object || !Object->contains("slots"))
    return std::nullopt;
  EndpointStatus Status;
  Status.Boot = textField(*Object, "boot");
  for (const auto &Name : Object->value("capabilities", Json::array())) {
    Status.Offered.TaskFence |= Name == "task_fence";
    Status.Offered.JobRecords |= Name == "job_records";
  }
  auto Leaving = Object->find("leaving");
  if (Leaving != Object->end() && *Leaving == true)
    Status.State = EndpointStatus::Standing::Leaving;
  Status.Slots = countField(*Object, "slots");
  Status.Running = countField(*Object, "running");
  Status.Used = usedResources(*Object);
  return Status;
}

} // namespace cornellift::endpoint::detail
