#include "Kernel/Jobs/IdentifierIssuer.h"

#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::kernel {
namespace {

/// How long the identifier states of a block are kept after its deadline.
constexpr core::Duration BlockRetention = std::chrono::minutes(15);

} // namespace

IdentifierIssuer::IdentifierIssuer(const TransferredIssuer &Issuer,
                                   std::span<const TransferredBlock> Blocks)
    : Issuer_(Issuer.Issuer), FirstSequence_(Issuer.FirstSequence) {
  for (const auto &Each : Blocks)
    Blocks_.push_back({Each.Deadline, Each.Accepted, Each.NeverRun, Each.Team});
}

std::optional<IdentifierBlock> IdentifierIssuer::issue(core::TimePoint Deadline,
                                                       std::optional<TeamIndex> Team) {
  if (Blocks_.size() >= MaximumBlocks)
    return core::fail(core::ErrorKind::Overloaded,
                      "too many identifier blocks are live; use the identifiers already issued");
  IdentifierBlock Issued{Issuer_, nextSequence(), BlockSize, Deadline};
  Blocks_.push_back({Deadline, 0, 0, Team});
  return Issued;
}

IdentifierState IdentifierIssuer::state(std::uint64_t Sequence, core::TimePoint Now) const {
  if (Sequence == 0 || Sequence >= nextSequence())
    return IdentifierState::NotIssued;
  const auto *Found = find(Sequence);
  if (!Found)
    return IdentifierState::Evicted;
  if (Found->NeverRun & bit(Sequence))
    return IdentifierState::NeverRun;
  if (Found->Accepted & bit(Sequence))
    return IdentifierState::Accepted;
  return Now < Found->Deadline ? IdentifierState::Unused : IdentifierState::Expired;
}

bool IdentifierIssuer::usableBy(std::uint64_t Sequence, TeamIndex Team) const {
  const auto *Found = find(Sequence);
  return !Found || !Found->Team || *Found->Team == Team;
}

void IdentifierIssuer::markAccepted(std::uint64_t Sequence) {
  if (auto *Found = find(Sequence))
    Found->Accepted |= bit(Sequence);
}

void IdentifierIssuer::markNeverRun(std::uint64_t Sequence) {
  if (auto *Found = find(Sequence))
    Found->NeverRun |= bit(Sequence);
}

void IdentifierIssuer::evictExpired(core::TimePoint Now) {
  while (!Blocks_.empty() && Blocks_.front().Deadline + BlockRetention < Now) {
    Blocks_.pop_front();
    FirstSequence_ += BlockSize;
  }
}

TransferredIssuer IdentifierIssuer::transferredIssuer() const {
  return {Issuer_, FirstSequence_, nextSequence()};
}

std::vector<TransferredBlock> IdentifierIssuer::transferredBlocks() const {
  std::vector<TransferredBlock> Result;
  Result.reserve(Blocks_.size());
  for (const auto &Each : Blocks_)
    Result.push_back({Issuer_, FirstSequence_ + Result.size() * BlockSize, Each.Deadline,
                      Each.Accepted, Each.NeverRun, Each.Team});
  return Result;
}

const IdentifierIssuer::Block *IdentifierIssuer::find(std::uint64_t Sequence) const {
  if (Sequence < FirstSequence_ || Sequence >= nextSequence())
    return nullptr;
  return &Blocks_[(Sequence - FirstSequence_) / BlockSize];
}

IdentifierIssuer::Block *IdentifierIssuer::find(std::uint64_t Sequence) {
  return const_cast<Block *>(std::as_const(*this).find(Sequence));
}

std::uint64_t IdentifierIssuer::bit(std::uint64_t Sequence) const {
  return 1ULL << ((Sequence - FirstSequence_) % BlockSize);
}

std::uint64_t IdentifierIssuer::nextSequence() const {
  return FirstSequence_ + Blocks_.size() * BlockSize;
}

} // namespace cornellift::kernel
