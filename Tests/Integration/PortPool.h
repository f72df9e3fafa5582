#pragma once

#include <cstdint>

namespace cornellift::integration {

/// Loopback ports for the servers of one test program, below the kernel's ephemeral port range.
/// Programs that run at the same time use different blocks of ports, so that no other program takes
/// a port while its server is being restarted.
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

  int Guard_ = -1; ///< Socket bound to the block's first port, which marks the block as taken.
  std::uint16_t First_ = 0;
  std::uint16_t Offset_ = 0; ///< Offset of the port returned last.
};

} // namespace cornellift::integration
