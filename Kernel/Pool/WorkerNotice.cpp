#include "Kernel/Pool/WorkerNotice.h"

namespace cornellift::kernel {
namespace {

/// Time after a worker has left until its runs are known to be lost: its lease has to end.
constexpr double LossMilliseconds = 1000;
/// Expected ends and the reported notice are uncertain by about this much.
constexpr double MarginMilliseconds = 50;

} // namespace

bool isMovedOnNotice(const NoticedRun &Run) {
  bool EndsInTime = Run.Remaining + MarginMilliseconds <= Run.NoticeLeft;
  if (EndsInTime || !Run.Restart)
    return false;
  double LaterEnd = Run.NoticeLeft + LossMilliseconds + *Run.Restart;
  auto GainsBy = [&](double Limit) { return *Run.Restart <= Limit && LaterEnd > Limit; };
  return GainsBy(Run.Objective) || GainsBy(Run.Useful);
}

} // namespace cornellift::kernel
