#pragma once

namespace cornellift::entry {

/// A part of the entry daemon with its own threads. The daemon starts duties in the order in which
/// they were added and stops them in the reverse order, after the kernel has drained.
class Duty {
public:
  virtual ~Duty() = default;

  /// Returns false and sets the last reason when it cannot start.
  virtual bool start() = 0;

  /// A planned stop has begun. Must not block; requests are still served.
  virtual void beginStop() {}

  /// False while a planned stop still waits for this duty, at most for the daemon's stop time.
  virtual bool isDrained() const { return true; }

  /// Ends the duty's threads.
  virtual void stop() = 0;
};

} // namespace cornellift::entry
