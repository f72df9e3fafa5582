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

struct SocketAddress {
  std::string Address; ///< Empty when it cannot be determined.
  int Port = 0;
};

} // namespace detail

/// Buffered stream over a connected socket. A whole request has to be received, and a whole
/// response sent, within one deadline, so that a peer that sends one byte at a time cannot occupy a
/// thread. Clients create one stream for each request and its response.
class ConnectionStream : public httplib::Stream {
public:
  ConnectionStream(socket_t Socket, core::Duration TransferTime);

  /// Restarts the deadline for reading the next request.
  void beginRequest();

  /// Sends the bytes that write() has buffered; read() does so too before it waits. The library
  /// writes the head and the body of a response separately; sending them together halves the cost
  /// for the system and the peer.
  void flush();

  /// True when bytes of the next request have been received already.
  bool hasBufferedBytes() const { return Begin_ < End_; }

  /// True once a read or write has failed. The connection cannot be used again, because the next
  /// bytes may belong to the failed message.
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

  /// Looks up an address once; the library asks for both addresses on each request.
  const detail::SocketAddress &describe(std::optional<detail::SocketAddress> &Cached,
                                        AddressLookup Lookup) const;

  void sendAll(const char *Source, size_t Size);
  bool waitFor(short Events, core::TimePoint Deadline) const;

  static constexpr std::size_t ReadBufferBytes = 16384;

  /// Larger writes are sent without buffering.
  static constexpr std::size_t WriteBufferBytes = 65536;

  const socket_t Socket_;
  const core::Duration TransferTime_;
  core::TimePoint ReadDeadline_;
  std::array<char, ReadBufferBytes> ReadBuffer_;
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
  mutable std::optional<detail::SocketAddress> Remote_;
  mutable std::optional<detail::SocketAddress> Local_;
  std::string WriteBuffer_; ///< Written and not sent yet.
  bool Broken_ = false;
};

} // namespace cornellift::http
