#include "Libraries/LibHttp/ConnectionStream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace cornellift::http {
namespace {

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

ConnectionStream::ConnectionStream(socket_t Socket, core::Duration TransferTime)
    : Socket_(Socket), TransferTime_(TransferTime) {
  beginRequest();
}

const detail::SocketAddress &
ConnectionStream::describe(std::optional<detail::SocketAddress> &Cached,
                           AddressLookup Lookup) const {
  if (Cached)
    return *Cached;
  Cached.emplace();
  sockaddr_storage Storage{};
  socklen_t Length = sizeof(Storage);
  if (Lookup(Socket_, reinterpret_cast<sockaddr *>(&Storage), &Length) != 0 ||
      Storage.ss_family != AF_INET)
    return *Cached;
  const auto *Internet = reinterpret_cast<const sockaddr_in *>(&Storage);
  std::array<char, INET_ADDRSTRLEN> Text{};
  if (inet_ntop(AF_INET, &Internet->sin_addr, Text.data(), Text.size()) != nullptr)
    Cached->Address = Text.data();
  Cached->Port = ntohs(Internet->sin_port);
  return *Cached;
}

void ConnectionStream::beginRequest() {
  ReadDeadline_ = core::MonotonicClock::now() + TransferTime_;
}

bool ConnectionStream::waitFor(short Events, core::TimePoint Deadline) const {
  while (true) {
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(Deadline -
                                                                      core::MonotonicClock::now());
    if (Left.count() <= 0)
      return false;
    pollfd Entry{Socket_, Events, 0};
    int Ready = ::poll(&Entry, 1, static_cast<int>(Left.count()));
    if (Ready > 0)
      return true;
    if (Ready < 0 && errno != EINTR)
      return false;
  }
}

bool ConnectionStream::is_readable() const {
  return Begin_ < End_ || waitFor(POLLIN, ReadDeadline_);
}

bool ConnectionStream::is_writable() const { return true; }

ssize_t ConnectionStream::read(char *Target, size_t Size) {
  // The peer may wait for the buffered bytes before it sends more.
  if (Begin_ == End_ && !WriteBuffer_.empty())
    flush();
  while (Begin_ == End_) {
    auto Received = ::recv(Socket_, ReadBuffer_.data(), ReadBuffer_.size(), MSG_DONTWAIT);
    if (Received > 0) {
      Begin_ = 0;
      End_ = static_cast<std::size_t>(Received);
      break;
    }
    if (Received < 0 && errno == EINTR)
      continue;
    if (Received < 0 && wouldBlock() && waitFor(POLLIN, ReadDeadline_))
      continue;
    Broken_ = true;
    return Received == 0 ? 0 : -1;
  }
  auto Count = std::min(Size, End_ - Begin_);
  std::memcpy(Target, ReadBuffer_.data() + Begin_, Count);
  Begin_ += Count;
  return static_cast<ssize_t>(Count);
}

ssize_t ConnectionStream::write(const char *Source, size_t Size) {
  if (WriteBuffer_.size() + Size > WriteBufferBytes)
    flush();
  if (Size > WriteBufferBytes)
    sendAll(Source, Size);
  else
    WriteBuffer_.append(Source, Size);
  return Broken_ ? -1 : static_cast<ssize_t>(Size);
}

void ConnectionStream::flush() {
  sendAll(WriteBuffer_.data(), WriteBuffer_.size());
  WriteBuffer_.clear();
}

void ConnectionStream::sendAll(const char *Source, size_t Size) {
  auto Deadline = core::MonotonicClock::now() + TransferTime_;
  for (size_t Done = 0; Done < Size && !Broken_;) {
    auto Sent = ::send(Socket_, Source + Done, Size - Done, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent >= 0)
      Done += static_cast<size_t>(Sent);
    else if (errno != EINTR && (!wouldBlock() || !waitFor(POLLOUT, Deadline)))
      Broken_ = true;
  }
}

void ConnectionStream::get_remote_ip_and_port(std::string &Address, int &Port) const {
  const auto &Cached = describe(Remote_, ::getpeername);
  Address = Cached.Address;
  Port = Cached.Port;
}

void ConnectionStream::get_local_ip_and_port(std::string &Address, int &Port) const {
  const auto &Cached = describe(Local_, ::getsockname);
  Address = Cached.Address;
  Port = Cached.Port;
}

} // namespace cornellift::http
