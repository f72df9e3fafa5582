#include "Kernel/Pool/PoolQueue.h"

namespace cornellift::kernel {

void PoolQueue::set(const Key &Entry) {
  remove(Entry.Handle);
  Entries_[Entry.Handle] = Entry;
  Order_.insert(Entry);
}

void PoolQueue::remove(JobHandle Handle) {
  auto Found = Entries_.find(Handle);
  if (Found == Entries_.end())
    return;
  Order_.erase(Found->second);
  Entries_.erase(Found);
}

QueueReview reviewQueue(std::span<const ReviewedJob> Jobs, double Rate, core::TimePoint Now) {
  QueueReview Review;
  std::vector<const ReviewedJob *> Remaining;
  double Ahead = 0; // Of the jobs that are in time.
  for (const auto &Job : Jobs) {
    auto LastStart = Now + core::fromMilliseconds((Ahead + Job.WaitingMilliseconds) / Rate);
    bool BecomesLate =
        Job.Prospect == JobProspect::InTime && !Job.MayHaveRun && LastStart > Job.LatestStart;
    if (BecomesLate)
      Review.Late.push_back(Job.Handle);
    if (Job.Prospect == JobProspect::InTime && !BecomesLate)
      Ahead += Job.WaitingMilliseconds;
    else
      Remaining.push_back(&Job);
  }
  for (const auto *Job : Remaining) {
    auto Start = Now + core::fromMilliseconds(Ahead / Rate);
    auto Run = core::fromMilliseconds(core::toMilliseconds(Job->ShortestRun) * MinimumRunTimeShare);
    if (!Job->MayHaveRun && Start + Run > Job->UsefulUntil)
      Review.Unattainable.push_back(Job->Handle);
    else
      Ahead += Job->WaitingMilliseconds;
  }
  Review.WaitingMilliseconds = Ahead;
  return Review;
}

} // namespace cornellift::kernel
