#include "Libraries/LibReactor/Asio.h"

#include "Libraries/LibCore/Reason.h"

#include <charconv>

namespace cornellift::reactor {

std::optional<Tcp::endpoint> parseAddress(std::string_view Text) {
  auto Refuse = [&] {
    return core::fail(core::ErrorKind::Malformed, "\"" + std::string(Text) +
                                                      "\" is not an IP address and port; write it "
                                                      "as 10.0.0.1:7000");
  };
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Refuse();
  unsigned short Port = 0;
  auto Parsed = std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return Refuse();
  boost::system::error_code Error;
  auto Host = asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  if (Error)
    return Refuse();
  return Tcp::endpoint(Host, Port);
}

std::string formatAddress(const Tcp::endpoint &Address) {
  return Address.address().to_string() + ":" + std::to_string(Address.port());
}

std::chrono::steady_clock::time_point timerDeadline(core::TimePoint Deadline) {
  return std::chrono::steady_clock::now() + (Deadline - core::MonotonicClock::now());
}

} // namespace cornellift::reactor
