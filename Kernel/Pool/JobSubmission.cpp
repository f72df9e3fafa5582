#include "Kernel/Pool/JobSubmission.h"

namespace cornellift::kernel {
namespace {

/// State of a task at the manager, its place in the queue, and its step's progress.
constexpr std::size_t TaskBytes = 256;

} // namespace

std::size_t JobSubmission::memory() const {
  std::size_t Bytes = sizeof(*this) + Specification.capacity() +
                      Steps.capacity() * sizeof(JobStep) + TaskBytes * taskCount();
  for (const auto &Step : Steps)
    Bytes += Step.After.capacity() * sizeof(std::uint32_t) + Step.RequiredLabel.size() +
             Step.DataRack.size();
  return Bytes;
}

} // namespace cornellift::kernel
