#include "Libraries/LibConfiguration/StrictJson.h"

#include "Libraries/LibCore/Reason.h"

#include <set>
#include <string>
#include <vector>

namespace cornellift::configuration {
namespace {

using nlohmann::json;

/// Parser callback that detects duplicate names and excessive nesting. The library does not let a
/// callback stop the parser, so all values after the first problem are discarded.
class StructureCheck {
public:
  bool operator()(int Depth, json::parse_event_t Event, json &Value) {
    if (!Problem_.empty())
      return false;
    if (Event == json::parse_event_t::object_start || Event == json::parse_event_t::array_start)
      return enter(Depth);
    if (Event == json::parse_event_t::object_end || Event == json::parse_event_t::array_end)
      Names_.pop_back();
    if (Event == json::parse_event_t::key &&
        !Names_.back().insert(Value.get_ref<const std::string &>()).second)
      Problem_ = "the name \"" + Value.get<std::string>() +
                 "\" occurs twice in one object; remove one of them";
    return Problem_.empty();
  }

  const std::string &problem() const { return Problem_; }

private:
  bool enter(int Depth) {
    if (static_cast<std::size_t>(Depth) >= MaximumJsonDepth) {
      Problem_ = "JSON is nested more than " + std::to_string(MaximumJsonDepth) +
                 " levels deep; flatten it";
      return false;
    }
    Names_.emplace_back();
    return true;
  }

  std::vector<std::set<std::string>> Names_;
  std::string Problem_;
};

} // namespace

std::optional<json> parseStrictJson(std::string_view Text, std::size_t MaximumBytes) {
  if (Text.size() > MaximumBytes)
    return core::fail(core::ErrorKind::TooLarge,
                      "the JSON text has " + std::to_string(Text.size()) + " bytes; send at most " +
                          std::to_string(MaximumBytes));
  StructureCheck Check;
  try {
    auto Value = json::parse(Text, [&Check](int Depth, json::parse_event_t Event, json &Parsed) {
      return Check(Depth, Event, Parsed);
    });
    if (!Check.problem().empty())
      return core::fail(core::ErrorKind::Malformed, Check.problem());
    return Value;
  } catch (const json::exception &Error) {
    return core::fail(core::ErrorKind::Malformed,
                      "not valid JSON, correct it and send it again: " + std::string(Error.what()));
  }
}

} // namespace cornellift::configuration
