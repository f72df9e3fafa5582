#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::platform::detail {

/// Whether a request without a reply can have had an effect.
enum class CallState {
  Replied,
  NotSent, ///< No connection was made.
  NoReply  ///< Sent at least in part.
};

struct StoreReply {
  CallState State = CallState::NotSent;
  int Status = 0;             ///< HTTP status; zero without a reply.
  std::uint64_t Revision = 0; ///< Zero when the reply names none.
  std::string EntityTag;      ///< Empty when the reply names none.
  std::string Body;
};

/// Sends one request on a connection of its own and reads the reply until the deadline. Sets the
/// last reason when no reply came. KnownTag is the entity tag of a reply that the caller still has;
/// a store that supports it answers with status 304 while nothing has changed.
StoreReply callStore(const std::string &Address, std::string_view Method, std::string Path,
                     std::string_view Body, core::TimePoint Deadline,
                     const std::string &KnownTag = {});

/// Key as one part of a path: letters, digits, "-", "_", "." and "/" stand for themselves.
std::string escapeKey(std::string_view Key);

} // namespace cornellift::platform::detail
