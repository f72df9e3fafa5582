#pragma once

#include "Services/FaultProxy/Rule.h"

#include <array>
#include <cstddef>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cornellift::fault {

class Link;

/// One proxied connection. Keeps itself alive until both sides have closed.
class ProxySession : public std::enable_shared_from_this<ProxySession> {
public:
  using Tcp = boost::asio::ip::tcp;

  ProxySession(boost::asio::io_context &Context, std::shared_ptr<Link> Owner, Tcp::socket Incoming);

  /// Connects to the target and forwards in both directions.
  void start();

  void apply(FaultAction Action);

private:
  static constexpr std::size_t BlockBytes = 65536;

  /// One direction of the connection; each block is forwarded whole before the next one is read.
  struct ForwardStream {
    Direction Towards;
    std::array<char, BlockBytes> Block;
    std::size_t Size = 0;
    bool Silent = false;
  };

  Tcp::socket &source(const ForwardStream &Stream) {
    return Stream.Towards == Direction::Up ? Incoming_ : Outgoing_;
  }
  Tcp::socket &sink(const ForwardStream &Stream) {
    return Stream.Towards == Direction::Up ? Outgoing_ : Incoming_;
  }
  void read(ForwardStream &Stream);
  void received(ForwardStream &Stream);
  void forward(ForwardStream &Stream);
  void write(ForwardStream &Stream);
  void close();

  std::shared_ptr<Link> Owner_;
  Tcp::socket Incoming_;
  Tcp::socket Outgoing_;
  boost::asio::steady_timer UpDelay_;
  boost::asio::steady_timer DownDelay_;
  ForwardStream Up_{Direction::Up, {}};
  ForwardStream Down_{Direction::Down, {}};
  bool SwallowReply_ = false;
};

} // namespace cornellift::fault
