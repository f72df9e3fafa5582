#pragma once

namespace cornellift::entry {

/// A component of the entry daemon with its own threads. The daemon starts components in the order
/// in which they were added and stops them in reverse order, after the kernel has drained.
class Component {
public:
  virtual ~Component() = default;

  /// Returns false and sets the last reason when it cannot start.
  virtual bool start() = 0;

  /// Called when a planned stop begins, while requests are still served. Must not block.
  virtual void beginStop() {}

  /// Returns false while a planned stop has to wait for this component. The daemon waits at most
  /// for its stop time.
  virtual bool isDrained() const { return true; }

  /// Ends the component's threads.
  virtual void stop() = 0;
};

} // namespace cornellift::entry
