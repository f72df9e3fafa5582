#include "Libraries/LibConfiguration/Head.h"

#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/PlatformStore.h"

namespace cornellift::configuration {

using nlohmann::json;

json toJson(const Change &Record) {
  return {{"version", Record.Version}, {"patch_id", Record.PatchId},
          {"who", Record.Who},         {"when_ms", Record.WhenMilliseconds},
          {"why", Record.Why},         {"patch", Record.Patch},
          {"inverse", Record.Inverse}};
}

std::optional<Change> changeFromJson(const json &Value) {
  try {
    Change Record;
    Record.Version = Value.at("version").get<std::uint64_t>();
    Record.PatchId = Value.at("patch_id").get<std::string>();
    Record.Who = Value.at("who").get<std::string>();
    Record.WhenMilliseconds = Value.at("when_ms").get<std::int64_t>();
    Record.Why = Value.at("why").get<std::string>();
    Record.Patch = Value.at("patch");
    Record.Inverse = Value.at("inverse");
    return Record;
  } catch (const json::exception &Error) {
    return core::fail(core::ErrorKind::Malformed,
                      "not an audit record; check what else writes the key: " +
                          std::string(Error.what()));
  }
}

std::optional<Head> Head::parse(std::string_view Text) {
  auto Value = parseStrictJson(Text, platform::MaximumValueBytes);
  if (!Value)
    return std::nullopt;
  if (!Value->is_object() || !Value->contains("document") || !Value->contains("change"))
    return core::fail(core::ErrorKind::Malformed,
                      "not a configuration head; check what else writes the key");
  auto Latest = changeFromJson(Value->at("change"));
  if (!Latest)
    return std::nullopt;
  if (Latest->Version == 0 || Value->value("version", json()) != Latest->Version)
    return core::fail(
        core::ErrorKind::Malformed,
        "the head's version and its audit record differ; check what else writes the key");
  auto Content = Document::fromJson(std::move(Value->at("document")));
  if (!Content)
    return std::nullopt;
  auto Version = Latest->Version;
  return Head{Version, std::move(*Content), std::move(*Latest)};
}

std::string Head::text() const {
  return json{{"version", Version}, {"document", Content.json()}, {"change", toJson(Latest)}}
      .dump();
}

} // namespace cornellift::configuration
