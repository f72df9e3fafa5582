#pragma once

#include "Libraries/LibStore/KeyMirror.h"
#include "Libraries/LibStore/StoreClient.h"

#include <functional>
#include <memory>
#include <string>

namespace cornellift::pool {

/// Keeps this entry process's key in the store, under a lease, and learns of the others from
/// theirs. The key is written again when it has gone while the process lives.
class VmRegistration : public std::enable_shared_from_this<VmRegistration> {
public:
  /// Called with name and mesh address of each other entry process in the store.
  using PeerHandler = std::function<void(const std::string &Vm, const std::string &Address)>;

  VmRegistration(store::asio::io_context &Reactor, std::shared_ptr<store::StoreClient> Store,
                 std::string Vm, std::string Address, PeerHandler OnPeer);

  void start();
  /// Removes the key.
  void stop();

private:
  void itemsChanged(const store::KeyMirror::Items &Items);
  void openLease();
  void writeKey();
  void renew();
  void after(core::Duration Pause, void (VmRegistration::*Next)());

  store::asio::steady_timer Timer_;
  std::shared_ptr<store::StoreClient> Store_;
  std::string Vm_;
  std::string Address_;
  PeerHandler OnPeer_;
  std::shared_ptr<store::KeyMirror> Mirror_;
  std::uint64_t Lease_ = 0;
  bool IsWritten_ = false;
  bool IsStopped_ = false;
};

} // namespace cornellift::pool
