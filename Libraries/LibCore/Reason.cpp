#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::core {
namespace {

Reason &storage() {
  thread_local Reason Last;
  return Last;
}

} // namespace

std::string_view toString(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Malformed:
    return "malformed";
  case ErrorKind::TooLarge:
    return "too_large";
  case ErrorKind::Unauthorized:
    return "unauthorized";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Timeout:
    return "timeout";
  case ErrorKind::Overloaded:
    return "overloaded";
  case ErrorKind::Expired:
    return "expired";
  case ErrorKind::Unsupported:
    return "unsupported";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

std::nullopt_t fail(ErrorKind Kind, std::string Message) {
  storage() = {Kind, std::move(Message)};
  return std::nullopt;
}

bool failFalse(ErrorKind Kind, std::string Message) {
  fail(Kind, std::move(Message));
  return false;
}

const Reason &lastReason() { return storage(); }

} // namespace cornellift::core
