#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/MembershipMonitor.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace cornellift::entry {

/// Transfers the state of this process to one successor at a planned shutdown, and monitors the
/// processes that transferred their state to this one.
class StateTransfer {
public:
  StateTransfer(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                MembershipMonitor &Members, peer::PeerClient &Client, const IssuerNames &Names);
  ~StateTransfer() { stop(); }

  /// Starts the transfer. Must not be called twice.
  void begin();

  /// Ends the transfer; state that has not been transferred by then stays here.
  void stop();

  /// True when the transfer has succeeded or failed and no outcomes are left to send.
  bool isDone() const;

  /// Performs SendTransferPart and SealTransfer. Call on the kernel's thread.
  void perform(const kernel::Action &Next);

  /// Adds a process whose seal was accepted here.
  void addPredecessor(kernel::Incarnation Sender);

  /// Reports predecessors that have ended. Call on the kernel's thread after each tick.
  void tick(core::TimePoint Now);

private:
  enum class Reply { Accepted, Refused, NoReply };

  void run();
  std::optional<kernel::MemberRecord> chooseSuccessor(const std::set<std::uint64_t> &Failed) const;
  bool sendState(const kernel::MemberRecord &Successor);
  void seal(const kernel::MemberRecord &Successor);
  void sendOutcomes(const kernel::MemberRecord &Successor);
  Reply send(const kernel::MemberRecord &Successor, const peer::TransferRequest &Request,
             core::TimePoint Deadline);
  void handleOnKernelThread(kernel::Event Next);
  void waitForKernel();
  std::deque<std::shared_ptr<const kernel::TransferPart>> takeParts();
  bool isStopping() const;

  KernelThread &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
  MembershipMonitor &Members_;
  peer::PeerClient &Client_;
  const IssuerNames &Names_;

  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<std::shared_ptr<const kernel::TransferPart>> Parts_;
  std::optional<kernel::SealTransfer> Seal_;
  std::vector<kernel::Incarnation> Predecessors_;
  bool Stopping_ = false;
  bool Sending_ = false; ///< An outcome is being sent.
  bool Done_ = false;    ///< The transfer itself has ended.
  core::TimePoint NextCheck_;
  std::thread Thread_;
};

} // namespace cornellift::entry
