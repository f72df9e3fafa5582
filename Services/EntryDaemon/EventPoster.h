#pragma once

#include "Kernel/Event.h"

namespace cornellift::entry {

/// Way into the kernel for the other duties. Safe to use from every thread but the kernel's own.
class EventPoster {
public:
  virtual ~EventPoster() = default;

  /// Returns false with Overloaded when the kernel's ring is full; the event is not handled then.
  virtual bool tryPost(kernel::Event Next) = 0;

  /// Waits for room. For events that must not be lost, such as the end of a task.
  virtual void post(kernel::Event Next) = 0;
};

} // namespace cornellift::entry
