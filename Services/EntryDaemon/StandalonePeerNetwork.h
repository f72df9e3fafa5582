#pragma once

#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <string>
#include <utility>

namespace cornellift::entry {

/// PeerNetwork of a process that has no peers.
class StandalonePeerNetwork : public PeerNetwork {
public:
  /// Self is the entry of this process in the status. Source may be null.
  explicit StandalonePeerNetwork(MemberStatus Self, const ConfigurationSource *Source = nullptr)
      : Self_(std::move(Self)), Source_(Source) {}

  bool isRelay() const override { return true; }

  std::optional<Fetched> fetchConfiguration(std::uint64_t, Form) override {
    return core::fail(core::ErrorKind::Unavailable,
                      "there are no peers; name some in the settings");
  }

  void announceVersion(std::uint64_t, Reach) override {}

  std::vector<MemberStatus> members() const override {
    auto Self = Self_;
    Self.ConfigurationVersion = Source_ ? Source_->version() : 0;
    return {Self};
  }

  std::optional<ForwardedResponse> forward(std::string_view EntryVm, kernel::Incarnation,
                                           const ForwardedRequest &,
                                           ForwardFailure &Failure) override {
    // Another incarnation of this VM has ended: only one process at a time runs under a VM's name.
    Failure = EntryVm == Self_.EntryVm ? ForwardFailure::IssuerDead : ForwardFailure::Unreachable;
    return std::nullopt;
  }

private:
  MemberStatus Self_;
  const ConfigurationSource *Source_;
};

} // namespace cornellift::entry
