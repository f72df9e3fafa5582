#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Standing of an entry process. Among records with equal revisions the later enumerator wins.
enum class MemberStanding : std::uint8_t { Starting, Ready, Stopping, Dead };

/// What is known of one entry VM. Only the process itself raises the revision; others may at most
/// set it to Stopping (platform's list) or Dead (failed probes) within the same revision.
struct MemberRecord {
  std::string EntryVm{};
  std::string Address{}; ///< IP number and port of the peer server.
  std::string DataCentre{};
  Incarnation Process{};
  std::int64_t StartedAt = 0; ///< Wall clock in milliseconds; orders the incarnations of a VM.
  std::uint32_t Revision = 0;
  MemberStanding Standing = MemberStanding::Starting;
  std::vector<std::string>
      Unreachable{};           ///< Data centres that this process, as relay, cannot reach.
  core::TimePoint ChangedAt{}; ///< Local time of the change; sent as an age.
};

/// All state of From was sealed to To at a planned shutdown.
struct SuccessionRecord {
  Incarnation From{};
  std::string SuccessorVm{};
  Incarnation To{};
  core::TimePoint ChangedAt{};
};

/// Load of one entry process; the owner's sequence orders the reports.
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
  std::uint64_t Digest = 0; ///< Of the sender's member table; a lasting difference leads to a sync.
  LoadRecord Load;
  std::vector<LoadRecord> OtherLoads;
};

/// Records sent to a peer. A full one holds all of them, and the receiver replies with all of its.
struct Announcement {
  std::string Origin{}; ///< Data centre of the sender.
  std::vector<MemberRecord> Members{};
  std::vector<SuccessionRecord> Successions{};
  std::uint64_t ConfigurationVersion = 0; ///< Not zero when the sender has a new configuration.
  /// Load of the sender, given with a new configuration: tells whom to fetch it from.
  std::optional<LoadRecord> Sender{};
  enum class Extent : std::uint8_t { Changes, Full } Scope{};
};

} // namespace cornellift::kernel
