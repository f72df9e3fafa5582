#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace cornellift::fault {

/// Up is from the connecting side to the target; Down is the way back.
enum class Direction { Up, Down };

enum class FaultAction {
  Cut,         ///< Closes both sides at once.
  Silence,     ///< Keeps both sides open and forwards nothing more, either way.
  SilenceUp,   ///< Forwards nothing more towards the target.
  SilenceDown, ///< Forwards nothing more towards the connecting side.
  SwallowReply ///< Forwards this request, discards what comes back, and closes after the first
               ///< bytes.
};

/// Applies an action to one connection when a text has passed for the Nth time on its link. The
/// event, not a clock, decides, so that a test takes the same course on every run.
struct Rule {
  std::uint64_t Id = 0;
  Direction Watched = Direction::Up;
  std::string Text;             ///< Looked for within each received block of bytes.
  std::uint64_t Occurrence = 1; ///< Counted over all connections of the link.
  FaultAction Action = FaultAction::Cut;
  bool BeforeForwarding = false; ///< The block that holds the text is not forwarded.
  std::uint64_t Seen = 0;
  bool Fired = false;
};

/// Parses an action's name such as "swallow_reply"; empty with Malformed for another name.
std::optional<FaultAction> parseAction(std::string_view Name);

/// Parses {"direction", "text", "occurrence", "action", "before_forwarding"}.
std::optional<Rule> parseRule(const nlohmann::json &Document);

} // namespace cornellift::fault
