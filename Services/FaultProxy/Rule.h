#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace cornellift::fault {

/// Up is from the client to the target, Down from the target to the client.
enum class Direction { Up, Down };

enum class FaultAction {
  Cut,         ///< Closes both sides at once.
  Silence,     ///< Keeps both sides open and forwards nothing more in either direction.
  SilenceUp,   ///< Forwards nothing more towards the target.
  SilenceDown, ///< Forwards nothing more towards the client.
  SwallowReply ///< Forwards this request, discards the first bytes of the reply, and closes.
};

/// Applies an action to a connection on the Nth occurrence of a text on its link. The trigger is an
/// event, not a time, so that a test takes the same course on every run.
struct Rule {
  std::uint64_t Id = 0;
  Direction Watched = Direction::Up;
  std::string Text;             ///< Searched within each received block.
  std::uint64_t Occurrence = 1; ///< Counted over all connections of the link.
  FaultAction Action = FaultAction::Cut;
  bool BeforeForwarding = false; ///< The block that holds the text is not forwarded.
  std::uint64_t Seen = 0;
  bool Fired = false;
};

/// Parses the name of an action such as "swallow_reply". Returns an empty optional with Malformed
/// for an unknown name.
std::optional<FaultAction> parseAction(std::string_view Name);

/// Parses {"direction", "text", "occurrence", "action", "before_forwarding"}.
std::optional<Rule> parseRule(const nlohmann::json &Document);

} // namespace cornellift::fault
