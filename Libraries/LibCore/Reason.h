#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cornellift::core {

/// Category of a failure. It determines the HTTP status and whether a retry can help.
enum class ErrorKind {
  Malformed,    ///< The input does not parse or breaks the schema. A retry fails too.
  TooLarge,     ///< The input exceeds a limit.
  Unauthorized, ///< The key is missing or unknown.
  NotFound,     ///< The named object does not exist.
  Conflict,     ///< The object has changed or belongs to another owner.
  Unavailable,  ///< The remote side is unreachable or temporarily refuses.
  Timeout,      ///< The deadline passed; the operation may have taken effect.
  Overloaded,   ///< A limit on queued work is reached.
  Expired,      ///< The identifier or result is no longer kept.
  Unsupported,  ///< The remote side does not support the operation.
  Internal      ///< A bug in this program.
};

/// Returns the kind as a lower-case word with underscores, as used in JSON and logs.
std::string_view toString(ErrorKind Kind);

/// Kind and message of the last failure in a thread. The message includes a remedy.
struct Reason {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
};

/// Stores the reason for the current thread and returns an empty optional.
std::nullopt_t fail(ErrorKind Kind, std::string Message);

/// Stores the reason for the current thread and returns false, for functions without a value.
bool failFalse(ErrorKind Kind, std::string Message);

/// Returns the reason that the current thread stored last.
const Reason &lastReason();

} // namespace cornellift::core
