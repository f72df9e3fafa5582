#pragma once

#include "Libraries/LibReactor/Asio.h"

#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::reactor {
namespace detail {

/// Copies the bytes of one direction of a relayed connection.
class RelayDirection : public std::enable_shared_from_this<RelayDirection> {
public:
  RelayDirection(std::shared_ptr<Tcp::socket> From, std::shared_ptr<Tcp::socket> To,
                 std::shared_ptr<const bool> IsSilent)
      : From_(std::move(From)), To_(std::move(To)), IsSilent_(std::move(IsSilent)) {}

  void run() {
    From_->async_read_some(asio::buffer(Bytes_),
                           [Self = shared_from_this()](auto Error, auto Count) {
                             boost::system::error_code Broken;
                             if (!Error && !*Self->IsSilent_)
                               asio::write(*Self->To_, asio::buffer(Self->Bytes_, Count), Broken);
                             if (Error || Broken)
                               return Self->To_->close(Broken);
                             Self->run();
                           });
  }

private:
  std::shared_ptr<Tcp::socket> From_;
  std::shared_ptr<Tcp::socket> To_;
  std::shared_ptr<const bool> IsSilent_;
  std::array<char, 4096> Bytes_{};
};

} // namespace detail

/// TCP relay for tests to another port of this machine. It can reset its connections or discard
/// their data while they stay open.
class TcpRelay {
public:
  TcpRelay(asio::io_context &Reactor, std::uint16_t Target)
      : Reactor_(Reactor), Target_(asio::ip::address_v4::loopback(), Target),
        Acceptor_(Reactor, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  Tcp::endpoint endpoint() const { return Acceptor_.local_endpoint(); }
  std::string address() const { return formatAddress(endpoint()); }

  /// Silences all connections, also later ones, or none.
  void setSilent(bool IsSilent) {
    AreNewOnesSilent_ = IsSilent;
    for (const auto &Each : Connections_)
      *Each.IsSilent = IsSilent;
  }
  /// Silences the connections that are open, for good. New ones work.
  void silenceOpenConnections() {
    for (const auto &Each : Connections_)
      *Each.IsSilent = true;
  }
  void reset() {
    for (const auto &Each : Connections_)
      for (const auto &Socket : {Each.Near, Each.Far}) {
        boost::system::error_code Ignored; // The socket may be closed already.
        Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
        Socket->close(Ignored);
      }
    Connections_.clear();
  }

private:
  struct Connection {
    std::shared_ptr<Tcp::socket> Near;
    std::shared_ptr<Tcp::socket> Far;
    std::shared_ptr<bool> IsSilent;
  };

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      forward(std::make_shared<Tcp::socket>(std::move(Socket)));
      accept();
    });
  }

  void forward(std::shared_ptr<Tcp::socket> Near) {
    auto Far = std::make_shared<Tcp::socket>(Reactor_);
    boost::system::error_code Refused;
    Far->connect(Target_, Refused);
    if (Refused)
      return;
    auto IsSilent = std::make_shared<bool>(AreNewOnesSilent_);
    std::make_shared<detail::RelayDirection>(Near, Far, IsSilent)->run();
    std::make_shared<detail::RelayDirection>(Far, Near, IsSilent)->run();
    Connections_.push_back({std::move(Near), std::move(Far), std::move(IsSilent)});
  }

  asio::io_context &Reactor_;
  Tcp::endpoint Target_;
  Tcp::acceptor Acceptor_;
  std::vector<Connection> Connections_;
  bool AreNewOnesSilent_ = false;
};

} // namespace cornellift::reactor
