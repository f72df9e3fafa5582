#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::platform::detail {

/// The outcome of a request: whether there was a reply and, if not, whether the request may have
/// had an effect.
enum class CallState {
  Replied,
  NotSent, ///< No connection was made.
  NoReply  ///< Sent at least in part.
};

struct StoreReply {
  CallState State = CallState::NotSent;
  int Status = 0;             ///< HTTP status; zero without a reply.
  std::uint64_t Revision = 0; ///< Zero when the reply has none.
  std::string EntityTag;      ///< Empty when the reply has none.
  std::string Body;
};

/// Sends one request on a new connection and reads the reply until the deadline. Sets the last
/// reason when there is no reply. KnownTag is the entity tag of a cached reply; a store that
/// supports it replies with status 304 while nothing has changed.
StoreReply callStore(const std::string &Address, std::string_view Method, std::string Path,
                     std::string_view Body, core::TimePoint Deadline,
                     const std::string &KnownTag = {});

/// Percent-encodes a key for a path; letters, digits, "-", "_", "." and "/" stay as they are.
std::string escapeKey(std::string_view Key);

} // namespace cornellift::platform::detail
