#include "Services/PoolDaemon/VmRegistration.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Utf8.h"
#include "Libraries/LibMesh/Generated/Mesh.pb.h"

#include <utility>

namespace cornellift::pool {
namespace {

constexpr std::string_view Prefix = "cornellift/entries/";
constexpr core::Duration LeaseDuration = std::chrono::seconds(10);
constexpr core::Duration RenewInterval = std::chrono::seconds(3);
constexpr core::Duration RetryDelay = std::chrono::milliseconds(500);
/// A key of a VM has its address and the name of its data centre.
constexpr std::size_t MaximumRecordBytes = 4U << 10;
constexpr store::MirrorOptions RegistrationMirrorOptions = {
    std::chrono::seconds(8), std::chrono::milliseconds(100), store::MirrorMode::Watch,
    MaximumRecordBytes};

std::string encode(const mesh::PeerRecord &Record) {
  mesh::VmRecord Message;
  Message.set_address(Record.Address);
  Message.set_data_centre(Record.DataCentre);
  Message.set_weight(Record.Weight);
  return Message.SerializeAsString();
}

} // namespace

VmRegistration::VmRegistration(store::asio::io_context &Reactor,
                               std::shared_ptr<store::StoreClient> Store,
                               const mesh::PeerRecord &Self, PeerHandler OnPeer)
    : Timer_(Reactor), Store_(std::move(Store)), Key_(std::string(Prefix) + Self.Vm),
      Value_(encode(Self)), OnPeer_(std::move(OnPeer)),
      Mirror_(std::make_shared<store::KeyMirror>(
          Reactor, Store_, std::string(Prefix), RegistrationMirrorOptions,
          [this](const store::KeyMirror::Items &Items) { itemsChanged(Items); })) {}

void VmRegistration::start() {
  openLease();
  Mirror_->start();
}

void VmRegistration::stop() {
  IsStopped_ = true;
  Timer_.cancel();
  Mirror_->stop();
  if (Lease_ != 0)
    Store_->endLease(Lease_);
}

void VmRegistration::itemsChanged(const store::KeyMirror::Items &Items) {
  reportAllPeers();
  auto Own = Items.find(Key_);
  bool IsGone = Own == Items.end() || Own->second.Value != Value_;
  if (IsGone && std::exchange(IsWritten_, false)) {
    core::logLine(core::LogLevel::Warning, "registration",
                  "the key of this VM is gone; writing it again");
    openLease();
  }
}

void VmRegistration::reportAllPeers() {
  for (const auto &[Key, Item] : Mirror_->items()) {
    mesh::VmRecord Message;
    if (!Item.IsTooLong && core::isUtf8(Key) && Message.ParseFromString(Item.Value) &&
        reactor::parseAddress(Message.address()))
      OnPeer_(
          {Key.substr(Prefix.size()), Message.address(), Message.data_centre(), Message.weight()});
    else if (std::exchange(Unreadable_[Key], Item.Revision) != Item.Revision)
      core::logLine(core::LogLevel::Warning, "registration", "the key of a VM cannot be read",
                    {{"key", Key}});
  }
}

void VmRegistration::openLease() {
  if (IsStopped_)
    return;
  Store_->openLease(LeaseDuration,
                    [Self = shared_from_this()](const store::StoreReply<std::uint64_t> &Reply) {
                      if (!Reply.Content)
                        return Self->scheduleAfter(RetryDelay, &VmRegistration::openLease);
                      Self->Lease_ = *Reply.Content;
                      if (Self->IsStopped_)
                        return Self->Store_->endLease(Self->Lease_);
                      Self->writeKey();
                    });
}

void VmRegistration::writeKey() {
  Store_->write({Key_, Value_, Lease_},
                [Self = shared_from_this()](const store::StoreReply<std::uint64_t> &Reply) {
                  if (!Reply.Content)
                    return Self->scheduleAfter(RetryDelay, &VmRegistration::openLease);
                  Self->IsWritten_ = true;
                  Self->scheduleAfter(RenewInterval, &VmRegistration::renew);
                });
}

void VmRegistration::renew() {
  Store_->renewLease(
      Lease_, [Self = shared_from_this()](const store::StoreReply<std::uint64_t> &Reply) {
        if (!Reply.Content && Reply.Failure == store::StoreFailure::Expired)
          return Self->openLease();
        Self->scheduleAfter(Reply.Content ? RenewInterval : RetryDelay, &VmRegistration::renew);
      });
}

void VmRegistration::scheduleAfter(core::Duration Delay, void (VmRegistration::*Next)()) {
  if (IsStopped_)
    return;
  Timer_.expires_after(Delay);
  Timer_.async_wait([Self = shared_from_this(), Next](boost::system::error_code Error) {
    if (!Error && !Self->IsStopped_)
      (Self.get()->*Next)();
  });
}

} // namespace cornellift::pool
