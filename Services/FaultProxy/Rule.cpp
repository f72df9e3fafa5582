#include "Services/FaultProxy/Rule.h"

#include "Libraries/LibCore/Reason.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::fault {
namespace {

constexpr std::array<std::pair<std::string_view, FaultAction>, 5> Actions = {{
    {"cut", FaultAction::Cut},
    {"silence", FaultAction::Silence},
    {"silence_up", FaultAction::SilenceUp},
    {"silence_down", FaultAction::SilenceDown},
    {"swallow_reply", FaultAction::SwallowReply},
}};

} // namespace

std::optional<FaultAction> parseAction(std::string_view Name) {
  for (const auto &[Known, Action] : Actions)
    if (Known == Name)
      return Action;
  return core::fail(core::ErrorKind::Malformed,
                    "unknown action \"" + std::string(Name) +
                        "\"; use cut, silence, silence_up, silence_down or swallow_reply");
}

std::optional<Rule> parseRule(const nlohmann::json &Document) {
  if (!Document.is_object())
    return core::fail(core::ErrorKind::Malformed, "a rule is a JSON object");
  try {
    Rule Result;
    auto Watched = Document.value("direction", std::string("up"));
    if (Watched != "up" && Watched != "down")
      return core::fail(core::ErrorKind::Malformed, "\"direction\" is \"up\" or \"down\"");
    Result.Watched = Watched == "up" ? Direction::Up : Direction::Down;
    Result.Text = Document.at("text").get<std::string>();
    Result.Occurrence = Document.value("occurrence", std::uint64_t{1});
    Result.BeforeForwarding = Document.value("before_forwarding", false);
    auto Action = parseAction(Document.at("action").get<std::string>());
    if (!Action)
      return std::nullopt;
    Result.Action = *Action;
    return Result;
  } catch (const nlohmann::json::exception &Error) {
    return core::fail(core::ErrorKind::Malformed,
                      std::string("a rule needs \"text\" and \"action\": ") + Error.what());
  }
}

} // namespace cornellift::fault
