#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cornellift::replay {

/// Virtual clock: runs callbacks in order of time; those of equal time in order of insertion.
class EventQueue {
public:
  core::TimePoint now() const { return Now_; }
  double nowMilliseconds() const { return core::toMilliseconds(Now_.time_since_epoch()); }

  void at(core::TimePoint When, std::function<void()> Run) {
    Entries_.push({std::max(When, Now_), NextSequence_++, std::move(Run)});
  }

  void after(core::Duration Delay, std::function<void()> Run) { at(Now_ + Delay, std::move(Run)); }

  /// Runs the next callback. Returns false when there is none.
  bool step() {
    if (Entries_.empty())
      return false;
    // The entry is removed before it runs, because its callback may add entries.
    auto Next = std::move(const_cast<Entry &>(Entries_.top()));
    Entries_.pop();
    Now_ = Next.When;
    Next.Run();
    return true;
  }

private:
  struct Entry {
    core::TimePoint When;
    std::uint64_t Sequence = 0;
    std::function<void()> Run;

    bool operator<(const Entry &Other) const {
      return std::pair(Other.When, Other.Sequence) < std::pair(When, Sequence);
    }
  };

  std::priority_queue<Entry> Entries_;
  core::TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t NextSequence_ = 0;
};

} // namespace cornellift::replay
