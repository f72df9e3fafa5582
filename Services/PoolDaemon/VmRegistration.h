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

/// Keeps this entry process's key in the store, under a lease, and learns of the others from
/// theirs. The key is written again when it has gone while the process lives.
class VmRegistration : public std::enable_shared_from_this<VmRegistration> {
public:
  /// Called with the record of each entry process in the store.
  using PeerHandler = std::function<void(const mesh::PeerRecord &Record)>;

  VmRegistration(store::asio::io_context &Reactor, std::shared_ptr<store::StoreClient> Store,
                 const mesh::PeerRecord &Self, PeerHandler OnPeer);

  void start();
  /// Removes the key.
  void stop();
  /// Tells of all entry processes in the store once more.
  void reportAllPeers();

private:
  void itemsChanged(const store::KeyMirror::Items &Items);
  void openLease();
  void writeKey();
  void renew();
  void scheduleAfter(core::Duration Pause, void (VmRegistration::*Next)());

  store::asio::steady_timer Timer_;
  std::shared_ptr<store::StoreClient> Store_;
  std::string Key_;
  std::string Value_; ///< Of the own key.
  PeerHandler OnPeer_;
  std::shared_ptr<store::KeyMirror> Mirror_;
  /// Revisions of the keys that could not be read, each of which is logged once.
  std::map<std::string, std::uint64_t> Unreadable_;
  std::uint64_t Lease_ = 0;
  bool IsWritten_ = false;
  bool IsStopped_ = false;
};

} // namespace cornellift::pool
