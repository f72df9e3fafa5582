#include "Libraries/LibPeer/MembershipCoding.h"

#include <algorithm>
#include <chrono>

namespace cornellift::peer {
namespace {

std::uint64_t ageOf(core::TimePoint Then, core::TimePoint Now) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - Then).count();
  return Age < 0 ? 0 : static_cast<std::uint64_t>(Age);
}

core::TimePoint timeFromAge(std::uint64_t Age, core::TimePoint Now) {
  // Keeps a malformed age from overflowing the arithmetic.
  constexpr std::uint64_t MaximumAge = 1ULL << 40;
  return Now - std::chrono::milliseconds(std::min(Age, MaximumAge));
}

Load encode(const kernel::LoadRecord &From, bool WithProcess) {
  Load Result;
  if (WithProcess)
    Result.set_incarnation(From.Process.Value);
  Result.set_sequence(From.Sequence);
  Result.set_waiting_tasks(From.WaitingTasks);
  Result.set_free_slots(From.FreeSlots);
  Result.set_configuration_version(From.ConfigurationVersion);
  return Result;
}

kernel::LoadRecord decode(const Load &From) {
  return {{From.incarnation()},
          From.sequence(),
          From.waiting_tasks(),
          From.free_slots(),
          From.configuration_version()};
}

Member encode(const kernel::MemberRecord &From, core::TimePoint Now) {
  Member Result;
  Result.set_entry_vm(From.EntryVm);
  Result.set_address(From.Address);
  Result.set_data_centre(From.DataCentre);
  Result.set_incarnation(From.Process.Value);
  Result.set_started_at(From.StartedAt);
  Result.set_revision(From.Revision);
  Result.set_standing(static_cast<Member::Standing>(From.Standing));
  for (const auto &Name : From.Unreachable)
    Result.add_unreachable(Name);
  Result.set_age_ms(ageOf(From.ChangedAt, Now));
  return Result;
}

kernel::MemberRecord decode(const Member &From, core::TimePoint Now) {
  kernel::MemberRecord Result;
  Result.EntryVm = From.entry_vm();
  Result.Address = From.address();
  Result.DataCentre = From.data_centre();
  Result.Process = {From.incarnation()};
  Result.StartedAt = From.started_at();
  Result.Revision = From.revision();
  Result.Standing = static_cast<kernel::MemberStanding>(std::clamp<int>(
      From.standing(), static_cast<int>(Member::STARTING), static_cast<int>(Member::DEAD)));
  Result.Unreachable.assign(From.unreachable().begin(), From.unreachable().end());
  Result.ChangedAt = timeFromAge(From.age_ms(), Now);
  return Result;
}

template <typename Message>
void encodeRecords(const kernel::Announcement &From, core::TimePoint Now, Message &To) {
  To.set_origin(From.Origin);
  for (const auto &Record : From.Members)
    *To.add_members() = encode(Record, Now);
  for (const auto &Record : From.Successions)
    *To.add_successions() = peer::encode(Record, Now);
}

template <typename Message>
kernel::Announcement decodeRecords(const Message &From, core::TimePoint Now) {
  kernel::Announcement Result;
  Result.Origin = From.origin();
  for (const auto &Record : From.members())
    if (!Record.entry_vm().empty() && Record.incarnation() != 0)
      Result.Members.push_back(decode(Record, Now));
  for (const auto &Record : From.successions())
    Result.Successions.push_back(peer::decode(Record, Now));
  return Result;
}

} // namespace

Heartbeat encode(const kernel::Heartbeat &From) {
  Heartbeat Result;
  Result.set_incarnation(From.Process.Value);
  Result.set_revision(From.Revision);
  Result.set_digest(From.Digest);
  *Result.mutable_load() = encode(From.Load, false);
  for (const auto &Load : From.OtherLoads)
    *Result.add_other_loads() = encode(Load, true);
  return Result;
}

kernel::Heartbeat decode(const Heartbeat &From) {
  kernel::Heartbeat Result;
  Result.Process = {From.incarnation()};
  Result.Revision = From.revision();
  Result.Digest = From.digest();
  Result.Load = decode(From.load());
  Result.Load.Process = Result.Process;
  for (const auto &Load : From.other_loads())
    Result.OtherLoads.push_back(decode(Load));
  return Result;
}

Succession encode(const kernel::SuccessionRecord &From, core::TimePoint Now) {
  Succession Result;
  Result.set_incarnation(From.From.Value);
  Result.set_successor_vm(From.SuccessorVm);
  Result.set_successor_incarnation(From.To.Value);
  Result.set_age_ms(ageOf(From.ChangedAt, Now));
  return Result;
}

kernel::SuccessionRecord decode(const Succession &From, core::TimePoint Now) {
  return {{From.incarnation()},
          From.successor_vm(),
          {From.successor_incarnation()},
          timeFromAge(From.age_ms(), Now)};
}

AnnounceRequest encode(const kernel::Announcement &From, core::TimePoint Now) {
  AnnounceRequest Result;
  encodeRecords(From, Now, Result);
  Result.set_configuration_version(From.ConfigurationVersion);
  if (From.Sender)
    *Result.mutable_sender() = encode(*From.Sender, true);
  Result.set_full(From.Scope == kernel::Announcement::Extent::Full);
  return Result;
}

kernel::Announcement decode(const AnnounceRequest &From, core::TimePoint Now) {
  auto Result = decodeRecords(From, Now);
  Result.ConfigurationVersion = From.configuration_version();
  if (From.has_sender())
    Result.Sender = decode(From.sender());
  if (From.full())
    Result.Scope = kernel::Announcement::Extent::Full;
  return Result;
}

AnnounceReply encodeReply(const kernel::Announcement &From, core::TimePoint Now) {
  AnnounceReply Result;
  encodeRecords(From, Now, Result);
  return Result;
}

kernel::Announcement decode(const AnnounceReply &From, core::TimePoint Now) {
  return decodeRecords(From, Now);
}

} // namespace cornellift::peer
