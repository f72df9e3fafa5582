#include "Libraries/LibConfiguration/VersionStore.h"

#include "Libraries/LibConfiguration/MergePatch.h"
#include "Libraries/LibConfiguration/StrictJson.h"

#include <utility>

namespace cornellift::configuration {
namespace {

using core::ErrorKind;
using nlohmann::json;
using platform::SwapOutcome;

/// Each attempt either succeeds or fails, or finds that the head has changed, after which the next
/// attempt does; the third one is for a write that took effect late after its reply was lost.
constexpr int MaximumAttempts = 3;

std::string auditRecordKey(std::uint64_t Version) { return "audit/" + std::to_string(Version); }

ChangeOutcome rejected(std::uint64_t InForce, core::Reason Why) {
  return Rejected{InForce, std::move(Why)};
}

ChangeOutcome mayHaveBeenApplied() { return MayHaveBeenApplied{core::lastReason()}; }

ChangeOutcome rejectedForVersion(std::uint64_t Base, std::uint64_t InForce) {
  return rejected(InForce,
                  {ErrorKind::Conflict,
                   "the patch is against version " + std::to_string(Base) + ", but version " +
                       std::to_string(InForce) +
                       " is in force; read it, adapt the patch and send it with a new patch id"});
}

ChangeOutcome rejectedForPatchId(std::uint64_t Version, std::uint64_t InForce) {
  return rejected(InForce, {ErrorKind::Conflict, "the patch id belongs to the change that made "
                                                 "version " +
                                                     std::to_string(Version) +
                                                     "; send this one with a new patch id"});
}

bool isSameChange(const ChangeRequest &Request, const Change &Record) {
  // The record of version 1 omits the patch, which is the whole document.
  bool SamePatch = Record.Version == 1 || Record.Patch == Request.Patch;
  return SamePatch && Record.Who == Request.Who;
}

} // namespace

VersionStore::VersionStore(platform::PlatformStore &Store, ExtraCheck Check,
                           std::uint64_t Retention)
    : Store_(Store), Check_(std::move(Check)), Retention_(Retention) {}

std::optional<VersionStore::StoredHead> VersionStore::readHead(core::TimePoint Deadline) {
  auto Stored = Store_.get(HeadKey, Deadline);
  if (!Stored)
    return std::nullopt;
  auto Content = Head::parse(Stored->Value);
  if (!Content)
    return std::nullopt;
  return StoredHead{std::move(*Content), Stored->Revision};
}

ChangeOutcome VersionStore::apply(const ChangeRequest &Request, core::TimePoint Deadline) {
  for (int Attempt = 0; Attempt < MaximumAttempts; ++Attempt) {
    auto Stored = readHead(Deadline);
    // An earlier attempt may have been made through another process, so the outcome is unknown and
    // not "rejected".
    if (!Stored && core::lastReason().Kind != ErrorKind::NotFound)
      return mayHaveBeenApplied();
    const auto *Current = Stored ? &*Stored : nullptr;
    if (auto Known = findEarlierOutcome(Request, Current, Deadline))
      return *Known;
    auto Next = makeNextHead(Request, Current);
    if (!Next)
      return rejected(Request.BaseVersion, core::lastReason());
    if (Current && !writeAuditRecord(Current->Content.Latest, Deadline))
      return mayHaveBeenApplied();
    auto Outcome =
        Store_.compareAndSwap(HeadKey, Next->text(), Current ? Current->Revision : 0, Deadline);
    if (Outcome == SwapOutcome::Applied) {
      removeOldAuditRecord(Next->Version, Deadline);
      return Applied{Next->Version};
    }
    // Another attempt of the same patch, whose reply was lost, can still take effect.
    if (Outcome == SwapOutcome::Refused)
      return mayHaveBeenApplied();
  }
  core::fail(ErrorKind::Timeout, "no reply from the platform's store to the write; send the same "
                                 "patch with the same patch id again");
  return mayHaveBeenApplied();
}

/// Returns the outcome of a request that cannot make the next version: it was applied already, it
/// is not against the version in force, or its patch id is in use. Empty when it has yet to be
/// applied.
std::optional<ChangeOutcome> VersionStore::findEarlierOutcome(const ChangeRequest &Request,
                                                              const StoredHead *Current,
                                                              core::TimePoint Deadline) {
  std::uint64_t InForce = Current ? Current->Content.Version : 0;
  if (Request.BaseVersion > InForce)
    return rejectedForVersion(Request.BaseVersion, InForce);
  if (Request.BaseVersion == InForce) {
    if (Current && Current->Content.Latest.PatchId == Request.PatchId)
      return rejectedForPatchId(InForce, InForce);
    return std::nullopt;
  }
  auto MadeVersion = Request.BaseVersion + 1;
  auto Record =
      MadeVersion == InForce ? Current->Content.Latest : readAuditRecord(MadeVersion, Deadline);
  if (!Record && core::lastReason().Kind == ErrorKind::NotFound)
    core::fail(ErrorKind::Expired, "the audit record of version " + std::to_string(MadeVersion) +
                                       " is no longer kept; compare the configuration yourself");
  if (!Record)
    return mayHaveBeenApplied();
  if (Record->PatchId != Request.PatchId)
    return rejectedForVersion(Request.BaseVersion, InForce);
  if (!isSameChange(Request, *Record))
    return rejectedForPatchId(MadeVersion, InForce);
  return Applied{MadeVersion};
}

/// Builds the head that results from the request. Sets the last reason when the result is invalid.
std::optional<Head> VersionStore::makeNextHead(const ChangeRequest &Request,
                                               const StoredHead *Current) const {
  auto Before = Current ? Current->Content.Content.json() : json::object();
  auto Content = Document::fromJson(applyMergePatch(Before, Request.Patch));
  if (!Content || (Check_ && !Check_(*Content)))
    return std::nullopt;
  Change Latest;
  Latest.Version = Request.BaseVersion + 1;
  Latest.PatchId = Request.PatchId;
  Latest.Who = Request.Who;
  Latest.Why = Request.Why;
  Latest.WhenMilliseconds = core::wallClockMilliseconds();
  if (Current) {
    Latest.Patch = Request.Patch;
    Latest.Inverse = mergeDifference(Content->json(), Before);
  }
  Head Next{Latest.Version, std::move(*Content), std::move(Latest)};
  if (Next.text().size() > platform::MaximumValueBytes)
    return core::fail(ErrorKind::TooLarge, "the document and the change, which is kept with its "
                                           "inverse, exceed 1 MB; split the change");
  return Next;
}

bool VersionStore::writeAuditRecord(const Change &Record, core::TimePoint Deadline) {
  auto Key = auditRecordKey(Record.Version);
  auto Outcome = Store_.compareAndSwap(Key, toJson(Record).dump(), 0, Deadline);
  // Every process writes the same record, so an existing one is equivalent.
  if (Outcome == SwapOutcome::Applied || Outcome == SwapOutcome::Conflict)
    return true;
  return Outcome == SwapOutcome::Unknown && Store_.get(Key, Deadline).has_value();
}

void VersionStore::removeOldAuditRecord(std::uint64_t NewVersion, core::TimePoint Deadline) {
  // If this fails, the leftover record only takes up space.
  if (NewVersion > Retention_)
    Store_.remove(auditRecordKey(NewVersion - Retention_), Deadline);
}

std::optional<Change> VersionStore::readAuditRecord(std::uint64_t Version,
                                                    core::TimePoint Deadline) {
  auto Stored = Store_.get(auditRecordKey(Version), Deadline);
  if (!Stored)
    return std::nullopt;
  auto Value = parseStrictJson(Stored->Value, platform::MaximumValueBytes);
  if (!Value)
    return std::nullopt;
  return changeFromJson(*Value);
}

std::optional<Change> VersionStore::readChange(std::uint64_t Version, core::TimePoint Deadline) {
  // The record of the version in force is copied to its own key only when the next version is made.
  auto Record = readAuditRecord(Version, Deadline);
  if (Record || core::lastReason().Kind != ErrorKind::NotFound)
    return Record;
  auto Current = readHead(Deadline);
  if (!Current)
    return std::nullopt;
  if (Current->Content.Version == Version)
    return std::move(Current->Content.Latest);
  // Since the first read the next version may have been made and the record copied.
  if (Current->Content.Version > Version)
    return readAuditRecord(Version, Deadline);
  return core::fail(ErrorKind::NotFound,
                    "there is no audit record of version " + std::to_string(Version) +
                        "; version " + std::to_string(Current->Content.Version) + " is in force");
}

std::optional<json> VersionStore::documentAt(std::uint64_t Version, core::TimePoint Deadline) {
  auto Current = readHead(Deadline);
  if (!Current)
    return std::nullopt;
  auto InForce = Current->Content.Version;
  if (Version == 0 || Version > InForce)
    return core::fail(ErrorKind::NotFound, "there is no version " + std::to_string(Version) +
                                               "; version " + std::to_string(InForce) +
                                               " is in force");
  if (InForce - Version > MaximumVersionsBack)
    return core::fail(ErrorKind::TooLarge, "ask for one of the last " +
                                               std::to_string(MaximumVersionsBack) + " versions");
  auto Result = Current->Content.Content.json();
  auto Record = std::optional(Current->Content.Latest);
  for (auto Back = InForce; Back > Version; --Back) {
    if (Back != InForce)
      Record = readAuditRecord(Back, Deadline);
    // Every version below the one in force had a record, so a missing one has been removed.
    if (!Record && core::lastReason().Kind == ErrorKind::NotFound)
      return core::fail(ErrorKind::Expired, "the audit record of version " + std::to_string(Back) +
                                                " is no longer kept; ask for version " +
                                                std::to_string(Back) + " or a later one");
    if (!Record)
      return std::nullopt;
    Result = applyMergePatch(std::move(Result), Record->Inverse);
  }
  return Result;
}

} // namespace cornellift::configuration
