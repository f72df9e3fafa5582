#pragma once

#include "Kernel/Event.h"

namespace cornellift::entry {

/// Interface through which other components post events to the kernel. Safe to use from every
/// thread except the kernel's own.
class EventPoster {
public:
  virtual ~EventPoster() = default;

  /// Returns false with Overloaded, and discards the event, when the kernel's ring is full.
  virtual bool tryPost(kernel::Event Next) = 0;

  /// Blocks until the ring has space. For events that must not be lost, such as the end of a task.
  virtual void post(kernel::Event Next) = 0;
};

} // namespace cornellift::entry
