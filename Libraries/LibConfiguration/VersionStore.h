#pragma once

#include "Libraries/LibConfiguration/ChangeRequest.h"
#include "Libraries/LibConfiguration/Head.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibPlatform/PlatformStore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::configuration {

/// Store key of the head, the record of the version in force.
constexpr std::string_view HeadKey = "configuration/head";

/// Number of audit records kept: a week at 3,500 changes a day.
constexpr std::uint64_t AuditRetention = 25'000;

/// Maximum number of versions that documentAt() goes back; each takes one read from the store.
constexpr std::uint64_t MaximumVersionsBack = 200;

/// The versions of the configuration in the platform's store. The compare-and-swap of the head is
/// the only commit point; see docs/design.md, section 4.4. Holds no state: any number of processes
/// may apply patches at the same time.
class VersionStore {
public:
  /// Additional check of a document that has passed all others; sets the last reason on failure.
  using ExtraCheck = std::function<bool(const Document &)>;

  explicit VersionStore(platform::PlatformStore &Store, ExtraCheck Check = {},
                        std::uint64_t Retention = AuditRetention);

  /// A head and its revision in the store.
  struct StoredHead {
    Head Content;
    std::uint64_t Revision = 0;
  };

  /// Reads the head. NotFound when there is no configuration yet.
  std::optional<StoredHead> readHead(core::TimePoint Deadline);

  /// Applies a patch, or detects that the same patch was applied before. Repeating a request gives
  /// the same outcome, except for MayHaveBeenApplied, which another attempt can resolve.
  ChangeOutcome apply(const ChangeRequest &Request, core::TimePoint Deadline);

  /// The audit record of a version. NotFound when there is no such version yet or its record is no
  /// longer kept.
  std::optional<Change> readChange(std::uint64_t Version, core::TimePoint Deadline);

  /// The document of a version, restored by applying the inverse patches to the head's document.
  /// NotFound when there is no such version yet, TooLarge when it is more than MaximumVersionsBack
  /// behind the head, and Expired when a record on the way back is no longer kept.
  std::optional<nlohmann::json> documentAt(std::uint64_t Version, core::TimePoint Deadline);

private:
  std::optional<ChangeOutcome> findEarlierOutcome(const ChangeRequest &Request,
                                                  const StoredHead *Current,
                                                  core::TimePoint Deadline);
  std::optional<Head> makeNextHead(const ChangeRequest &Request, const StoredHead *Current) const;
  bool writeAuditRecord(const Change &Record, core::TimePoint Deadline);
  void removeOldAuditRecord(std::uint64_t NewVersion, core::TimePoint Deadline);
  std::optional<Change> readAuditRecord(std::uint64_t Version, core::TimePoint Deadline);

  platform::PlatformStore &Store_;
  ExtraCheck Check_;
  std::uint64_t Retention_;
};

} // namespace cornellift::configuration
