#include "Services/PoolDaemon/SuppressedLineBuffer.h"

#include <utility>

namespace cornellift::pool {

void SuppressedLineBuffer::add(kernel::JobKey Job, std::string_view Event, std::string Inputs,
                               core::TimePoint Now) {
  if (Ring_.empty())
    return;
  Ring_[Next_] = {Job, Event, std::move(Inputs), Now};
  Next_ = (Next_ + 1) % Ring_.size();
}

std::vector<SuppressedLine> SuppressedLineBuffer::take(kernel::JobKey Job) {
  std::vector<SuppressedLine> Taken;
  for (std::size_t Offset = 0; Offset < Ring_.size(); ++Offset) {
    auto &Line = Ring_[(Next_ + Offset) % Ring_.size()];
    if (!Line.Event.empty() && Line.Job == Job)
      Taken.push_back(std::exchange(Line, {}));
  }
  return Taken;
}

} // namespace cornellift::pool
