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

/// Key of the record of the version in force.
constexpr std::string_view HeadKey = "configuration/head";

/// Audit records kept: a week at 3,500 changes a day.
constexpr std::uint64_t AuditRetention = 25'000;

/// Versions that documentAt() goes back at most; each is a read from the store.
constexpr std::uint64_t MaximumVersionsBack = 200;

/// The versions of the configuration in the platform's store. The swap of the head is the only
/// commit point; see docs/design.md, section 4.4. Keeps no state: any number of processes may apply
/// patches at the same time.
class VersionStore {
public:
  /// Further check of a document that passed all others; sets the last reason.
  using ExtraCheck = std::function<bool(const Document &)>;

  explicit VersionStore(platform::PlatformStore &Store, ExtraCheck Check = {},
                        std::uint64_t Retention = AuditRetention);

  /// The head, and its revision in the store. NotFound when there is no configuration yet.
  struct StoredHead {
    Head Content;
    std::uint64_t Revision = 0;
  };
  std::optional<StoredHead> readHead(core::TimePoint Deadline);

  /// Applies a patch, or finds out that this very patch was applied before. Sending a request
  /// again gives the same outcome, but for MayHaveBeenApplied, which another attempt can resolve.
  ChangeOutcome apply(const ChangeRequest &Request, core::TimePoint Deadline);

  /// The audit record of a version. NotFound when it is in the future or no longer kept.
  std::optional<Change> readChange(std::uint64_t Version, core::TimePoint Deadline);

  /// The document as it was at a version, found by going back from the head. TooLarge when that is
  /// more than MaximumVersionsBack away.
  std::optional<nlohmann::json> documentAt(std::uint64_t Version, core::TimePoint Deadline);

private:
  std::optional<ChangeOutcome> recognise(const ChangeRequest &Request, const StoredHead *Now,
                                         core::TimePoint Deadline);
  std::optional<Head> makeNext(const ChangeRequest &Request, const StoredHead *Now) const;
  bool keepRecord(const Change &Record, core::TimePoint Deadline);
  void dropOldRecord(std::uint64_t NewVersion, core::TimePoint Deadline);
  std::optional<Change> readRecord(std::uint64_t Version, core::TimePoint Deadline);

  platform::PlatformStore &Store_;
  ExtraCheck Check_;
  std::uint64_t Retention_;
};

} // namespace cornellift::configuration
