#include "Kernel/Pool/ConfigurationFetch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cornellift::kernel {
namespace {

/// How long the store may take for a version that a peer already has.
constexpr core::Duration StoreTime = std::chrono::milliseconds(400);
/// How long a peer may take for one part.
constexpr core::Duration PartTimeout = std::chrono::milliseconds(500);
/// When to ask again if a whole document did not come into force, as one that cannot be read.
constexpr core::Duration UnusableDocumentInterval = std::chrono::seconds(5);
/// Upper bound on a document, some times the store's limit.
constexpr std::uint64_t MaximumDocumentBytes = 8U << 20;

} // namespace

ConfigurationFetch::ConfigurationFetch(std::uint32_t Seed) : Random_(Seed) {}

void ConfigurationFetch::peerReported(PeerIndex Peer, std::uint64_t Version, core::TimePoint Now) {
  Reported_[Peer] = Version;
  if (Version > InForce_ && !AskAt_)
    AskAt_ = Now + StoreTime;
}

void ConfigurationFetch::peerLost(PeerIndex Peer) {
  Reported_.erase(Peer);
  if (Transfer_ && Transfer_->Peer == Peer)
    Transfer_.reset();
}

void ConfigurationFetch::versionInForce(std::uint64_t Version, core::TimePoint Now) {
  InForce_ = Version;
  LastFailed_.reset();
  AskAt_.reset();
  bool IsNewerKnown = std::any_of(Reported_.begin(), Reported_.end(),
                                  [&](const auto &Entry) { return Entry.second > InForce_; });
  if (IsNewerKnown)
    AskAt_ = Now + StoreTime;
  bool IsOvertaken = Transfer_ && Transfer_->Version != 0 && Transfer_->Version <= InForce_;
  if (!IsNewerKnown || IsOvertaken)
    Transfer_.reset();
}

std::optional<ConfigurationRequest> ConfigurationFetch::nextRequest(core::TimePoint Now) {
  if (Transfer_ && std::exchange(Transfer_->IsNextPartDue, false))
    return ConfigurationRequest{Transfer_->Peer, Transfer_->Version, Transfer_->Received.size()};
  if (Transfer_ && Now < Transfer_->Deadline)
    return std::nullopt;
  if (Transfer_)
    LastFailed_ = Transfer_->Peer;
  Transfer_.reset();
  if (!AskAt_ || Now < *AskAt_)
    return std::nullopt;
  auto Peer = choosePeer();
  if (!Peer)
    return std::nullopt;
  Transfer_ = Transfer{*Peer, 0, {}, Now + PartTimeout};
  return ConfigurationRequest{*Peer, 0, 0};
}

std::optional<PeerIndex> ConfigurationFetch::choosePeer() {
  std::vector<PeerIndex> Candidates;
  std::uint64_t Newest = InForce_ + 1;
  for (const auto &[Peer, Version] : Reported_) {
    if (Version < Newest)
      continue;
    if (Version > Newest)
      Candidates.clear();
    Newest = Version;
    Candidates.push_back(Peer);
  }
  if (Candidates.size() > 1 && LastFailed_)
    std::erase(Candidates, *LastFailed_);
  if (Candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Position(0, Candidates.size() - 1);
  return Candidates[Position(Random_)];
}

std::optional<std::string> ConfigurationFetch::partReceived(PeerIndex Peer,
                                                            const ConfigurationPart &Part,
                                                            core::TimePoint Now) {
  if (!Transfer_ || Transfer_->Peer != Peer || Part.TotalBytes > MaximumDocumentBytes)
    return std::nullopt;
  // A peer that no longer has the requested version begins with the one in force.
  if (Part.Offset == 0) {
    Transfer_->Version = Part.Version;
    Transfer_->Received.clear();
  }
  bool IsNext = Part.Version == Transfer_->Version && Part.Offset == Transfer_->Received.size();
  if (!IsNext || Part.Bytes.empty())
    return std::nullopt;
  Transfer_->Received += Part.Bytes;
  if (Transfer_->Received.size() >= Part.TotalBytes) {
    AskAt_ = Now + UnusableDocumentInterval;
    return std::exchange(Transfer_, std::nullopt)->Received;
  }
  Transfer_->Deadline = Now + PartTimeout;
  Transfer_->IsNextPartDue = true;
  return std::nullopt;
}

} // namespace cornellift::kernel
