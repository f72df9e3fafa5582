#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// State of an entry process. Among records with equal revisions the later enumerator wins.
enum class MemberStanding : std::uint8_t { Starting, Ready, Stopping, Dead };

/// State of one entry VM. Only the process itself increments the revision; others may only set the
/// state to Stopping (platform's list) or Dead (failed probes) within the same revision.
struct MemberRecord {
  std::string EntryVm{};
  std::string Address{}; ///< IP address and port of the peer server.
  std::string DataCentre{};
  Incarnation Process{};
  std::int64_t StartedAt = 0; ///< Wall clock in milliseconds; orders the incarnations of a VM.
  std::uint32_t Revision = 0;
  MemberStanding Standing = MemberStanding::Starting;
  std::vector<std::string>
      Unreachable{}; ///< Data centres that this process cannot reach while it is the relay.
  core::TimePoint ChangedAt{}; ///< Local time of the change; sent as an age.
};

/// The state of From was transferred to To, and the transfer sealed, at a planned shutdown.
struct SuccessionRecord {
  Incarnation From{};
  std::string SuccessorVm{};
  Incarnation To{};
  core::TimePoint ChangedAt{};
};

/// Load of one entry process. Reports are ordered by that process's sequence numbers.
struct LoadRecord {
  Incarnation Process{};
  std::uint32_t Sequence = 0;
  std::uint32_t WaitingTasks = 0;
  std::uint32_t FreeSlots = 0;
  std::uint64_t ConfigurationVersion = 0;
};

/// Sent with every probe and its reply.
struct Heartbeat {
  Incarnation Process{};
  std::uint32_t Revision = 0;
  /// Digest of the sender's member table; a repeated mismatch triggers a sync.
  std::uint64_t Digest = 0;
  LoadRecord Load;
  std::vector<LoadRecord> OtherLoads;
};

/// Records sent to a peer. A full announcement has all records, and the receiver replies with all
/// of its own.
struct Announcement {
  std::string Origin{}; ///< Data centre of the sender.
  std::vector<MemberRecord> Members{};
  std::vector<SuccessionRecord> Successions{};
  std::uint64_t ConfigurationVersion = 0; ///< Not zero when the sender has a new configuration.
  /// Load of the sender, set together with a new configuration: identifies where to fetch it.
  std::optional<LoadRecord> Sender{};
  enum class Extent : std::uint8_t { Changes, Full } Scope{};
};

} // namespace cornellift::kernel
