#pragma once

#include "Libraries/LibMesh/MeshPeer.h"
#include "Libraries/LibStore/KeyMirror.h"
#include "Libraries/LibStore/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornellift::pool {

/// Keeps this entry process's key in the store, under a lease, and reports the other entry
/// processes that have a key there. The key is written again if it disappears while the process
/// runs.
class VmRegistration : public std::enable_shared_from_this<VmRegistration> {
public:
  /// Called with the record of each entry process in the store.
  using PeerHandler = std::function<void(const mesh::PeerRecord &Record)>;

  VmRegistration(store::asio::io_context &Reactor, std::shared_ptr<store::StoreClient> Store,
                 const mesh::PeerRecord &Self, PeerHandler OnPeer);

  void start();
  /// Removes the key.
  void stop();
  /// Reports all entry processes in the store to the handler again.
  void reportAllPeers();

private:
  void itemsChanged(const store::KeyMirror::Items &Items);
  void openLease();
  void writeKey();
  void renew();
  void scheduleAfter(core::Duration Delay, void (VmRegistration::*Next)());

  store::asio::steady_timer Timer_;
  std::shared_ptr<store::StoreClient> Store_;
  std::string Key_;
  std::string Value_; ///< Value of this process's key.
  PeerHandler OnPeer_;
  std::shared_ptr<store::KeyMirror> Mirror_;
  /// Revisions of malformed keys, so that each one is logged only once.
  std::map<std::string, std::uint64_t> Unreadable_;
  std::uint64_t Lease_ = 0;
  bool IsWritten_ = false;
  bool IsStopped_ = false;
};

} // namespace cornellift::pool
