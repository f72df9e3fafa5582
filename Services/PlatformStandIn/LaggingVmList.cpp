#include "Services/PlatformStandIn/LaggingVmList.h"

namespace cornellift::standin {

void LaggingVmList::set(std::string ListText) {
  constexpr std::size_t MaximumPending = 1000;
  std::lock_guard Guard(Mutex_);
  Pending_.push_back({core::MonotonicClock::now(), std::move(ListText)});
  if (Pending_.size() > MaximumPending)
    Pending_.pop_front();
}

void LaggingVmList::setLag(core::Duration Lag) {
  std::lock_guard Guard(Mutex_);
  Lag_ = Lag;
}

std::string LaggingVmList::visible() {
  std::lock_guard Guard(Mutex_);
  auto Newest = core::MonotonicClock::now() - Lag_;
  while (!Pending_.empty() && Pending_.front().When <= Newest) {
    Visible_ = std::move(Pending_.front().ListText);
    Pending_.pop_front();
  }
  return Visible_;
}

} // namespace cornellift::standin
