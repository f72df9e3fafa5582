#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cornellift::core {

/// Why an operation failed. The kind decides the HTTP status and whether a retry can help.
enum class ErrorKind {
  Malformed,    ///< The input does not parse or breaks the schema. A retry fails too.
  TooLarge,     ///< The input exceeds a stated bound.
  Unauthorized, ///< The key is missing or unknown.
  NotFound,     ///< The named object does not exist.
  Conflict,     ///< The object changed or belongs to somebody else.
  Unavailable,  ///< The other side cannot be reached, or refuses for now.
  Timeout,      ///< The deadline passed; the operation may have taken effect.
  Overloaded,   ///< A bound on queued work is reached.
  Expired,      ///< The identifier or answer is no longer kept.
  Unsupported,  ///< The other side does not offer the operation.
  Internal      ///< A fault of this program.
};

/// Returns the kind as a lower-case word with underscores, as used in JSON and logs.
std::string_view toString(ErrorKind Kind);

/// The last failure of the current thread. The message names the remedy.
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
