#pragma once

#include <cstdint>

namespace cornellift::integration {

/// Ports on loopback for the servers of one test program, below those that the kernel gives to
/// outgoing connections. Programs that run at the same time have different blocks of ports: a port
/// stays this program's while its server is being restarted.
class PortPool {
public:
  static PortPool &instance();

  PortPool(const PortPool &) = delete;
  PortPool &operator=(const PortPool &) = delete;

  /// The next port of the block that is free at present. Throws std::runtime_error when none is.
  std::uint16_t next();

private:
  PortPool();
  ~PortPool();

  int Guard_ = -1; ///< Holds the block's first port, by which others see that the block is taken.
  std::uint16_t First_ = 0;
  std::uint16_t Offset_ = 0; ///< Of the port given last.
};

} // namespace cornellift::integration
