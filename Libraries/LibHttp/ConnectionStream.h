#pragma once

#include "Libraries/LibCore/Time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include <httplib.h>
#include <sys/socket.h>

namespace cornellift::http {
namespace detail {

struct ConnectionEnd {
  std::string Address; ///< Empty when it cannot be found out.
  int Port = 0;
};

} // namespace detail

/// Buffered stream over a connected socket. A whole request has to arrive, and a whole response has
/// to leave, within one deadline, so that a peer that sends one byte at a time cannot hold a
/// thread. A client uses one for each request and its response.
class ConnectionStream : public httplib::Stream {
public:
  ConnectionStream(socket_t Socket, core::Duration TransferTime);

  /// Starts the deadline of the next request.
  void beginRequest();

  /// Sends what write() has kept back; so does a read that has to wait. The library writes the head
  /// and the body of a response apart; sent as one, they cost the system and the peer half as much.
  void flush();

  /// True when bytes of a next request are here already.
  bool hasBufferedBytes() const { return Begin_ < End_; }

  /// True once a read or write has failed. What follows cannot be told apart from the rest of the
  /// failed message.
  bool isBroken() const { return Broken_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Target, size_t Size) override;
  ssize_t write(const char *Source, size_t Size) override;
  void get_remote_ip_and_port(std::string &Address, int &Port) const override;
  void get_local_ip_and_port(std::string &Address, int &Port) const override;
  socket_t socket() const override { return Socket_; }

private:
  using AddressLookup = int (*)(int, sockaddr *, socklen_t *);

  /// The library asks for both ends at each request; they are looked up once.
  const detail::ConnectionEnd &describe(std::optional<detail::ConnectionEnd> &Known,
                                        AddressLookup Lookup) const;

  void sendAll(const char *Source, size_t Size);
  bool waitFor(short Events, core::TimePoint Deadline) const;

  static constexpr std::size_t BufferBytes = 16384;

  /// Larger parts are sent as they come.
  static constexpr std::size_t KeptBytes = 65536;

  const socket_t Socket_;
  const core::Duration TransferTime_;
  core::TimePoint ReadDeadline_;
  std::array<char, BufferBytes> Buffer_;
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
  mutable std::optional<detail::ConnectionEnd> Remote_;
  mutable std::optional<detail::ConnectionEnd> Local_;
  std::string Kept_; ///< Written and not sent yet.
  bool Broken_ = false;
};

} // namespace cornellift::http
