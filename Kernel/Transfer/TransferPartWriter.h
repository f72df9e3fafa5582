#pragma once

#include "Kernel/Jobs/IdentifierIssuer.h"
#include "Kernel/Transfer/Transfer.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace cornellift::kernel {

/// Splits the state of a sender into parts of bounded size.
class TransferPartWriter {
public:
  /// Jobs, outcomes and blocks per part.
  static constexpr std::size_t MaximumItems = 1000;
  /// Half of the default limit of a gRPC message; a single larger job is a part of its own.
  static constexpr std::uint64_t MaximumBytes = 2ULL << 20;

  TransferPartWriter(Incarnation Sender, Incarnation Receiver, std::uint32_t Transfer,
                     TransferPart::Content Kind);

  void add(const IdentifierIssuer &Identifiers);
  void add(TransferredJob Job);
  void add(const TransferredRunning &Job);
  void add(const TransferredOutcome &Ended);

  /// Returns the parts, at least one.
  std::vector<std::shared_ptr<const TransferPart>> take();

private:
  /// Returns the part to add an item of this size to.
  TransferPart &partFor(std::uint64_t Bytes);
  void closePart();

  TransferPart Open_;
  std::size_t OpenItems_ = 0;
  std::uint64_t OpenBytes_ = 0;
  std::vector<std::shared_ptr<const TransferPart>> Closed_;
};

} // namespace cornellift::kernel
