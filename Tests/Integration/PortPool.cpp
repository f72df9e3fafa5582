#include "Tests/Integration/PortPool.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornellift::integration {
namespace {

constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t BlockSize = 400;
constexpr std::uint16_t Blocks = 30;

/// A socket bound to the port, or -1 when the port is taken.
int bindTo(std::uint16_t Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

bool isFree(std::uint16_t Port) {
  int Socket = bindTo(Port);
  if (Socket >= 0)
    ::close(Socket);
  return Socket >= 0;
}

} // namespace

PortPool &PortPool::instance() {
  static PortPool Instance;
  return Instance;
}

PortPool::PortPool() {
  for (std::uint16_t Block = 0; Block < Blocks && Guard_ < 0; ++Block) {
    First_ = static_cast<std::uint16_t>(FirstPort + Block * BlockSize);
    Guard_ = bindTo(First_);
  }
  if (Guard_ < 0)
    throw std::runtime_error("all blocks of ports are taken; run fewer tests at once");
}

PortPool::~PortPool() { ::close(Guard_); }

std::uint16_t PortPool::next() {
  for (std::uint16_t Tried = 1; Tried < BlockSize; ++Tried) {
    Offset_ = static_cast<std::uint16_t>(Offset_ % (BlockSize - 1) + 1);
    auto Port = static_cast<std::uint16_t>(First_ + Offset_);
    if (isFree(Port))
      return Port;
  }
  throw std::runtime_error("all ports of the block are taken; end the programs that use them");
}

} // namespace cornellift::integration
