#pragma once

#include <algorithm>
#include <cstdint>

namespace cornellift::kernel {

/// Issues fencing tokens that are higher than all tokens known to this process. The upper bits come
/// from the store's revision, which grows with each heartbeat of a worker, so that tokens keep
/// rising even if all entry processes restart. The lower bits are a counter that issues tokens
/// between two revisions and while the store is unavailable.
class TokenSource {
public:
  void observeRevision(std::uint64_t Revision) { observe(Revision << CounterBits); }
  void observe(std::uint64_t Token) { Highest_ = std::max(Highest_, Token); }
  std::uint64_t highest() const { return Highest_; }
  std::uint64_t next() { return ++Highest_; }

  /// Skips ahead; called when a worker knows a higher token than this process.
  void skip() { Highest_ += std::uint64_t{1} << SkipBits; }

private:
  /// Tokens stay below 2^53 up to a revision of 2^37, so that they are exact in JSON.
  static constexpr unsigned CounterBits = 16;
  static constexpr unsigned SkipBits = 20;
  std::uint64_t Highest_ = 0;
};

} // namespace cornellift::kernel
