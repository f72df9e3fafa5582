#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Transfer/Transfer.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cornellift::kernel {

/// The parts of one sender that are not sealed yet, by number.
struct StagedTransfer {
  std::map<std::uint32_t, std::shared_ptr<const TransferPart>> Parts;
  std::uint32_t Transfer = 0; ///< The sender's attempt that the parts belong to.
  std::uint64_t Bytes = 0;
  core::TimePoint DropAt;
};

/// Parts that this process received. They have no effect until the transfer is sealed.
class TransferStaging {
public:
  /// Senders that may transfer to this process at the same time.
  static constexpr std::size_t MaximumSenders = 4;
  /// A sender that has not sealed within this time has chosen another successor or died.
  static constexpr core::Duration Lifetime = std::chrono::seconds(60);

  /// Returns false when the part exceeds a bound or belongs to an attempt that was replaced.
  bool stage(const std::shared_ptr<const TransferPart> &Part, std::uint64_t MaximumBytes,
             core::TimePoint Now);

  /// Returns the parts and records the seal if all parts of that attempt have arrived.
  std::optional<StagedTransfer> seal(const TransferSealed &Seal);

  bool sealed(Incarnation Sender) const { return Sealed_.contains(Sender); }

  void dropOld(core::TimePoint Now);

private:
  std::map<Incarnation, StagedTransfer> Staged_;
  /// Grows by one entry per planned shutdown of a peer that transfers to this process.
  std::set<Incarnation> Sealed_;
};

} // namespace cornellift::kernel
