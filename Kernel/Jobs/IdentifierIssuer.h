#pragma once

#include "Kernel/Action.h"
#include "Kernel/Identifiers.h"
#include "Kernel/Transfer/Transfer.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// State of one identifier.
enum class IdentifierState {
  NotIssued, ///< Never issued by this incarnation.
  Unused,    ///< May be accepted.
  Accepted,  ///< A submission was accepted; the job is active, ended or no longer kept.
  NeverRun,  ///< Refused, cancelled or ended with nothing started; never accepted again.
  Expired,   ///< Unused at the block's deadline; never accepted.
  Evicted    ///< Its block is no longer kept; nothing is known.
};

/// The identifier blocks of one incarnation: this process, or one whose state it took over.
class IdentifierIssuer {
public:
  /// Identifiers per block: one machine word holds one bit for each.
  static constexpr std::uint32_t BlockSize = 64;
  /// At 555 jobs/s per entry VM and 15 minutes, 8,000 blocks are live. The bound leaves room for
  /// callers that use one identifier per block.
  static constexpr std::size_t MaximumBlocks = 1U << 19;

  explicit IdentifierIssuer(Incarnation Issuer) : Issuer_(Issuer) {}

  /// Restores the transferred state of another incarnation, which issues no more identifiers.
  IdentifierIssuer(const TransferredIssuer &Issuer, std::span<const TransferredBlock> Blocks);

  /// Returns an empty optional with Overloaded when too many blocks are live.
  std::optional<IdentifierBlock> issue(core::TimePoint Deadline, std::optional<TeamIndex> Team);

  IdentifierState state(std::uint64_t Sequence, core::TimePoint Now) const;

  /// False when the identifier's block was issued to another team.
  bool usableBy(std::uint64_t Sequence, TeamIndex Team) const;

  /// Only for identifiers whose block is kept.
  void markAccepted(std::uint64_t Sequence);

  /// Records that the identifier's job is reported as not run. No effect when its block is no
  /// longer kept, because the identifier is never accepted then.
  void markNeverRun(std::uint64_t Sequence);

  /// Drops blocks that are past their deadline and the retention time after it.
  void evictExpired(core::TimePoint Now);

  TransferredIssuer transferredIssuer() const;
  std::vector<TransferredBlock> transferredBlocks() const;

private:
  struct Block {
    core::TimePoint Deadline;
    std::uint64_t Accepted = 0;
    std::uint64_t NeverRun = 0;
    std::optional<TeamIndex> Team;
  };

  const Block *find(std::uint64_t Sequence) const;
  Block *find(std::uint64_t Sequence);
  std::uint64_t bit(std::uint64_t Sequence) const;
  std::uint64_t nextSequence() const;

  Incarnation Issuer_;
  std::uint64_t FirstSequence_ = 1;
  std::deque<Block> Blocks_;
};

} // namespace cornellift::kernel
