#include "Services/PoolDaemon/PoolDaemon.h"

#include <memory>
#include <string>
#include <string_view>

namespace cornellift::pool {
namespace {

/// Size of the parts in which a document is sent to a peer: some 30 ms on the slowest links.
constexpr std::size_t PartBytes = 64U << 10;
/// How long a version is kept for a peer's next request. After that the peer gets the one in force.
constexpr core::Duration SentDocumentTime = std::chrono::seconds(2);

} // namespace

void PoolDaemon::operatorKeysChanged(const store::KeyMirror::Items &Items) {
  const auto &Reply = OperatorKeys_->lastReply();
  Log_.line(kernel::DecisionPriority::StateChange, "operators' keys read", std::nullopt,
            {{"call", Reply.Call},
             {"entries", static_cast<std::int64_t>(Reply.Entries)},
             {"bytes", static_cast<std::int64_t>(Reply.Bytes)},
             {"taken_ms", core::toMilliseconds(Reply.ReceivedAt - Reply.CalledAt)},
             {"revision", static_cast<std::int64_t>(OperatorKeys_->revision())}});
  readEvacuations(core::MonotonicClock::now());
  auto Found = Items.find(std::string(Formats_->store().configurationKey()));
  if (Found != Items.end())
    Configuration_.updateIfNewer(Found->second.Value, "store");
}

void PoolDaemon::readEvacuations(core::TimePoint Now) {
  if (!OperatorKeys_->isLoaded() || OperatorKeys_->revision() < Evacuations_.state().Revision)
    return;
  kernel::EvacuationState Read{OperatorKeys_->revision(), {}};
  std::set<std::string> Unknown;
  for (const auto &[Key, Item] : OperatorKeys_->items()) {
    auto Name = Formats_->store().evacuatedDataCentre(Key);
    if (!Name)
      continue;
    bool IsDataCentre = Settings_.DataCentres.contains(std::string(*Name));
    (IsDataCentre ? Read.DataCentres : Unknown).emplace(*Name);
  }
  for (const auto &Name : Unknown)
    if (!UnknownEvacuations_.contains(Name))
      Log_.line(kernel::DecisionPriority::StateChange, "evacuation left out", std::nullopt,
                {{"data_centre", std::string_view(Name)},
                 {"reason", "no data centre of the settings has that name; check the key"}});
  UnknownEvacuations_ = std::move(Unknown);
  learnEvacuations(Read, "store", Now);
}

void PoolDaemon::learnEvacuations(const kernel::EvacuationState &Told, std::string_view Source,
                                  core::TimePoint Now) {
  auto Changes = Evacuations_.learn(Told, Now);
  if (Changes.empty())
    return;
  for (const auto &Change : Changes)
    Log_.line(kernel::DecisionPriority::StateChange,
              Change.IsEvacuated ? "data centre evacuated" : "data centre restored", std::nullopt,
              {{"data_centre", std::string_view(Change.DataCentre)},
               {"revision", static_cast<std::int64_t>(Told.Revision)},
               {"source", Source}});
  Manager_.setEvacuated(Evacuations_.state().DataCentres, Now);
}

void PoolDaemon::configurationChanged(
    const std::shared_ptr<const kernel::PoolConfiguration> &Configuration) {
  auto Now = core::MonotonicClock::now();
  ConfigurationReceivedAt_ = Now;
  ConfigurationFetch_.versionInForce(Configuration->Version, Now);
  Ingress_.setConfiguration(Configuration);
  Directory_.setServices(Configuration->services());
  auto Limits = CallerServer_->limits();
  Limits.HeaderBytes = Configuration->Limits.HeaderBytes;
  Limits.BodyBytes = Configuration->Limits.BodyBytes;
  Limits.HeaderTime = Configuration->Limits.HeaderTime;
  Limits.IdleTime = Configuration->Limits.IdleTime;
  CallerServer_->setLimits(Limits);
  Mesh_.sendHeartbeats(Now);
}

void PoolDaemon::requestConfiguration(core::TimePoint Now) {
  auto Wanted = ConfigurationFetch_.nextRequest(Now);
  if (!Wanted)
    return;
  if (Wanted->Offset == 0) {
    Log_.line(kernel::DecisionPriority::StateChange, "configuration requested from a peer",
              std::nullopt,
              {{"in_force", static_cast<std::int64_t>(Configuration_.version())},
               {"peer", static_cast<std::int64_t>(Wanted->Peer)}});
    Metrics_.counter("cornellift_configuration_copies_requested_total").add();
  }
  mesh::Frame Message;
  auto &Request = *Message.mutable_fetch_configuration();
  Request.set_above_version(Configuration_.version());
  Request.set_in_parts(true);
  Request.set_version(Wanted->Version);
  Request.set_offset(Wanted->Offset);
  Mesh_.send(Wanted->Peer, Message);
}

void PoolDaemon::sendConfiguration(const mesh::MeshPeer &Peer,
                                   const mesh::FetchConfiguration &Request) {
  auto Now = core::MonotonicClock::now();
  std::erase_if(DocumentsBeingSent_, [&](const auto &Each) { return Each.second.Deadline < Now; });
  auto &Sent = DocumentsBeingSent_[Peer.Index];
  bool IsContinued = Sent.Configuration && Sent.Configuration->Version == Request.version() &&
                     Request.offset() < Sent.Configuration->Document.size();
  if (!IsContinued)
    Sent.Configuration = Configuration_.current();
  Sent.Deadline = Now + SentDocumentTime;
  if (!Sent.Configuration || Sent.Configuration->Version <= Request.above_version())
    return;
  std::string_view Document = Sent.Configuration->Document;
  auto Offset = IsContinued ? Request.offset() : 0;
  auto Part = Document.substr(Offset, Request.in_parts() ? PartBytes : Document.size());
  mesh::Frame Message;
  auto &Reply = *Message.mutable_configuration();
  Reply.set_version(Sent.Configuration->Version);
  Reply.set_document(std::string(Part));
  Reply.set_offset(Offset);
  Reply.set_total_bytes(Request.in_parts() ? Document.size() : 0);
  Metrics_.counter("cornellift_configuration_copy_bytes_sent_total").add(Part.size());
  if (Offset + Part.size() == Document.size()) {
    Metrics_.counter("cornellift_configuration_copies_sent_total").add();
    Log_.line(kernel::DecisionPriority::StateChange, "configuration sent to a peer", std::nullopt,
              {{"version", static_cast<std::int64_t>(Sent.Configuration->Version)},
               {"bytes", static_cast<std::int64_t>(Document.size())},
               {"vm", std::string_view(Peer.vm())}});
    DocumentsBeingSent_.erase(Peer.Index);
  }
  Mesh_.send(Peer.Index, Message);
}

void PoolDaemon::configurationReceived(const mesh::MeshPeer &Peer,
                                       const mesh::Configuration &Message) {
  auto Now = core::MonotonicClock::now();
  // A process of an earlier release sends the whole document at once.
  bool IsWhole = Message.total_bytes() == 0;
  kernel::ConfigurationPart Part{Message.version(), Message.offset(),
                                 IsWhole ? Message.document().size() : Message.total_bytes(),
                                 Message.document()};
  auto Document = ConfigurationFetch_.partReceived(Peer.Index, Part, Now);
  if (!Document)
    return requestConfiguration(Now);
  Metrics_.counter("cornellift_configuration_copies_received_total").add();
  Configuration_.updateIfNewer(*Document, Peer.vm());
}

} // namespace cornellift::pool
