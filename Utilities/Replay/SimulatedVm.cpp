#include "Utilities/Replay/SimulatedVm.h"

#include <utility>

namespace cornellift::replay {
namespace {

/// Request identifiers of sessions start here; lower ones belong to jobs.
constexpr std::uint64_t FirstSessionRequest = 1ULL << 62;

} // namespace

SimulatedVm::SimulatedVm(EventQueue &Clock, std::uint32_t Index, std::uint64_t Seed,
                         DecisionTimes &Times,
                         std::shared_ptr<const kernel::KernelConfiguration> Configuration,
                         ActionHandler Handler)
    : Clock_(Clock), Index_(Index), Handler_(std::move(Handler)),
      Slots_(Configuration->Endpoints.size()) {
  auto Scheduler = std::make_unique<TimedScheduler>(Seed + Index, Times);
  Scheduler_ = Scheduler.get();
  Dispatcher_ =
      std::make_unique<kernel::Dispatcher>(kernel::Incarnation{Index + 1}, std::move(Scheduler));
  handle(kernel::ConfigurationApplied{std::move(Configuration)});
}

void SimulatedVm::handle(kernel::Event Next) {
  if (IsAlive)
    Dispatcher_->handle(std::move(Next), Clock_.now(), *this);
}

void SimulatedVm::perform(kernel::Action Next) {
  auto *Answer = std::get_if<kernel::Respond>(&Next);
  if (Answer && static_cast<std::uint64_t>(Answer->Request) >= FirstSessionRequest) {
    auto Team = static_cast<std::uint32_t>(static_cast<std::uint64_t>(Answer->Request) -
                                           FirstSessionRequest);
    if (const auto *Block = std::get_if<kernel::IdentifierBlock>(&Answer->Content))
      Blocks_[Team] = *Block;
    return;
  }
  Handler_(*this, Next);
}

kernel::JobId SimulatedVm::takeIdentifier(kernel::TeamIndex Team) {
  auto Number = static_cast<std::uint32_t>(Team);
  auto &Block = Blocks_[Number];
  if (Block.Count == 0 || Block.Deadline <= Clock_.now())
    handle(kernel::OpenSession{static_cast<kernel::RequestId>(FirstSessionRequest + Number), Team});
  --Block.Count;
  return {Block.Issuer, Block.First++};
}

void SimulatedVm::setSlots(std::uint32_t Worker, std::uint32_t Slots) {
  if (Slots_[Worker] == Slots)
    return;
  Slots_[Worker] = Slots;
  handle(kernel::SlotsChanged{static_cast<kernel::EndpointIndex>(Worker), Slots});
}

} // namespace cornellift::replay
