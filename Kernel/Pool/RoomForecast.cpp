#include "Kernel/Pool/RoomForecast.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Some room is always left to late work, as not all arriving work goes before it.
constexpr double LeastLateShare = 0.1;

double millisecondsAt(double Work, double Rate, double Coming, double ComingIn) {
  double UntilThen = Rate * ComingIn;
  if (Work <= UntilThen)
    return Rate > 0 ? Work / Rate : 0;
  if (Coming <= 0)
    return Work / Rate;
  return ComingIn + (Work - UntilThen) / (Rate + Coming);
}

} // namespace

double TypicalWorker::shareOf(const Resources &Need) const {
  double Share = 1 / std::max(1.0, Slots);
  auto Add = [&](double Needed, double Available) {
    if (Available > 0)
      Share = std::max(Share, Needed / Available);
  };
  Add(Need.Processors, Capacity.Processors);
  Add(Need.MemoryMegabytes, Capacity.MemoryMegabytes);
  Add(Need.Accelerators, Capacity.Accelerators);
  return std::min(Share, 1.0);
}

double RoomForecast::millisecondsFor(double Work) const {
  return millisecondsAt(Work, Rate, Coming, core::toMilliseconds(ComingIn));
}

double RoomForecast::millisecondsForLate(double Work) const {
  double Total = Rate + Coming;
  double Left = std::max(Total - Inflow, Total * LeastLateShare) / Total;
  return millisecondsAt(Work, Rate * Left, Coming * Left, core::toMilliseconds(ComingIn));
}

} // namespace cornellift::kernel
