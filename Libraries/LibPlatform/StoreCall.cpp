#include "Libraries/LibPlatform/StoreCall.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/PlatformStore.h"

#include <algorithm>
#include <charconv>

#include <httplib.h>

namespace cornellift::platform::detail {
namespace {

/// Larger than a value, since the protocol does not bound the VM list.
constexpr std::size_t MaximumReplyBytes = 2 * MaximumValueBytes;

std::uint64_t revisionOf(const httplib::Response &Reply) {
  auto Text = Reply.get_header_value("X-Revision");
  std::uint64_t Revision = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Revision);
  return Revision;
}

CallState stateOf(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
  case httplib::Error::SSLConnection:
  case httplib::Error::SSLServerVerification:
    return CallState::NotSent;
  default:
    return CallState::NoReply;
  }
}

StoreReply failedCall(CallState State, core::ErrorKind Kind, std::string_view Problem) {
  core::fail(Kind, "the platform's store gave no reply (" + std::string(Problem) + "); try later");
  StoreReply Reply;
  Reply.State = State;
  return Reply;
}

} // namespace

StoreReply callStore(const std::string &Address, std::string_view Method, std::string Path,
                     std::string_view Body, core::TimePoint Deadline, const std::string &KnownTag) {
  auto Remaining = Deadline - core::MonotonicClock::now();
  if (Remaining <= core::Duration::zero())
    return failedCall(CallState::NotSent, core::ErrorKind::Timeout, "deadline passed");
  httplib::Client Client("http://" + Address);
  Client.set_connection_timeout(Remaining);
  Client.set_read_timeout(Remaining);
  Client.set_write_timeout(Remaining);
  Client.set_tcp_nodelay(true);

  StoreReply Result;
  httplib::Request Request;
  Request.method = Method;
  Request.path = std::move(Path);
  Request.body = Body;
  if (!Body.empty())
    Request.set_header("Content-Type", "application/json");
  if (!KnownTag.empty())
    Request.set_header("If-None-Match", KnownTag);
  Request.set_header("Accept-Encoding", "gzip");
  // Shorter than httplib's name and version; relays call more than once a second.
  Request.set_header("User-Agent", "cornellift");
  // httplib's read timeout applies to each part of a reply; this check bounds the whole reply.
  Request.content_receiver = [&](const char *Data, std::size_t Length, std::uint64_t,
                                 std::uint64_t) {
    Result.Body.append(Data, Length);
    return Result.Body.size() <= MaximumReplyBytes && core::MonotonicClock::now() < Deadline;
  };
  auto Reply = Client.send(Request);
  if (!Reply) {
    bool Late = core::MonotonicClock::now() >= Deadline;
    return failedCall(stateOf(Reply.error()),
                      Late ? core::ErrorKind::Timeout : core::ErrorKind::Unavailable,
                      httplib::to_string(Reply.error()));
  }
  Result.State = CallState::Replied;
  Result.Status = Reply->status;
  Result.Revision = revisionOf(*Reply);
  Result.EntityTag = Reply->get_header_value("ETag");
  return Result;
}

std::string escapeKey(std::string_view Key) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (unsigned char Letter : Key) {
    bool Plain = std::isalnum(Letter) != 0 ||
                 std::string_view("-_./").find(static_cast<char>(Letter)) != std::string_view::npos;
    if (Plain) {
      Result += static_cast<char>(Letter);
      continue;
    }
    Result += '%';
    Result += Digits[Letter >> 4U];
    Result += Digits[Letter & 15U];
  }
  return Result;
}

} // namespace cornellift::platform::detail
