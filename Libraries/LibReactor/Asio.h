#pragma once

// Timers are implemented by the timeout of the reactor's epoll_wait(), with a resolution of one
// millisecond. A timerfd would cost a system call for each change of the earliest deadline.
#ifndef BOOST_ASIO_DISABLE_TIMERFD
#error "define BOOST_ASIO_DISABLE_TIMERFD for every user of LibReactor"
#endif

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Libraries/LibCore/Time.h"

#include <optional>
#include <string_view>

namespace cornellift::reactor {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Parses an IP address and port such as `10.0.0.1:8080`. Returns an empty optional with Malformed
/// for anything else.
std::optional<Tcp::endpoint> parseAddress(std::string_view Text);

/// Formats an address as `10.0.0.1:8080`.
std::string formatAddress(const Tcp::endpoint &Address);

/// Converts a deadline to the clock that the timers use.
std::chrono::steady_clock::time_point timerDeadline(core::TimePoint Deadline);

} // namespace cornellift::reactor
