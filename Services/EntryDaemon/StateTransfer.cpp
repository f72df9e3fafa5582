#include "Services/EntryDaemon/StateTransfer.h"

#include "Libraries/LibCore/Log.h"
#include "Services/EntryDaemon/TransferCoding.h"

#include <algorithm>
#include <future>
#include <utility>

namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration CallTimeout = std::chrono::seconds(2);
constexpr core::Duration RetryDelay = std::chrono::milliseconds(100);
/// Another successor is chosen when a part is not accepted within this time.
constexpr core::Duration PartTimeout = std::chrono::seconds(4);
/// Longer than PartTimeout, because the seal is only ever sent to one successor.
constexpr core::Duration SealTimeout = std::chrono::seconds(10);
constexpr core::Duration KernelReplyTimeout = std::chrono::seconds(2);
constexpr core::Duration PredecessorInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaximumSuccessors = 3;

} // namespace

StateTransfer::StateTransfer(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                             MembershipMonitor &Members, peer::PeerClient &Client,
                             const IssuerNames &Names)
    : Kernel_(Kernel), CurrentConfiguration_(Configuration), Members_(Members), Client_(Client),
      Names_(Names) {}

void StateTransfer::begin() {
  Thread_ = std::thread([this] { run(); });
}

void StateTransfer::stop() {
  {
    std::lock_guard Guard(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
}

bool StateTransfer::isStopping() const {
  std::lock_guard Guard(Mutex_);
  return Stopping_;
}

bool StateTransfer::isDone() const {
  std::lock_guard Guard(Mutex_);
  return Done_ && Parts_.empty() && !Sending_;
}

void StateTransfer::perform(const kernel::Action &Next) {
  std::lock_guard Guard(Mutex_);
  if (const auto *Part = std::get_if<kernel::SendTransferPart>(&Next))
    Parts_.push_back(Part->Part);
  else if (const auto *Seal = std::get_if<kernel::SealTransfer>(&Next))
    Seal_ = *Seal;
  Changed_.notify_all();
}

void StateTransfer::handleOnKernelThread(kernel::Event Next) {
  Kernel_.run([this, Next = std::move(Next)](const auto &, auto) { Kernel_.postFromSink(Next); });
  // Work that is queued after these two waits runs after the event and its actions.
  waitForKernel();
  waitForKernel();
}

void StateTransfer::waitForKernel() {
  auto Promise = std::make_shared<std::promise<void>>();
  auto Future = Promise->get_future();
  Kernel_.run([Promise](const auto &, auto) { Promise->set_value(); });
  Future.wait_for(KernelReplyTimeout);
}

std::deque<std::shared_ptr<const kernel::TransferPart>> StateTransfer::takeParts() {
  std::lock_guard Guard(Mutex_);
  return std::exchange(Parts_, {});
}

void StateTransfer::run() {
  std::set<std::uint64_t> Failed;
  while (Failed.size() < MaximumSuccessors && !isStopping()) {
    auto Successor = chooseSuccessor(Failed);
    if (!Successor)
      break;
    if (sendState(*Successor)) {
      seal(*Successor);
      sendOutcomes(*Successor);
      return;
    }
    Failed.insert(Successor->Process.Value);
  }
  core::logLine(core::LogLevel::Warning, "transfer", "no successor; finishing the jobs here");
  std::lock_guard Guard(Mutex_);
  Done_ = true;
}

std::optional<kernel::MemberRecord>
StateTransfer::chooseSuccessor(const std::set<std::uint64_t> &Failed) const {
  return Members_.read([&](const kernel::Membership &View) -> std::optional<kernel::MemberRecord> {
    auto Next = View.nextReady();
    if (Next && !Failed.contains(Next->Process.Value))
      return Next;
    for (const auto &[Name, Record] : View.table().members())
      if (Record.DataCentre == View.own().DataCentre && Name != View.own().EntryVm &&
          Record.Standing == kernel::MemberStanding::Ready &&
          !Failed.contains(Record.Process.Value))
        return Record;
    return std::nullopt;
  });
}

bool StateTransfer::sendState(const kernel::MemberRecord &Successor) {
  auto Configuration = CurrentConfiguration_.get();
  if (!Configuration)
    return false;
  handleOnKernelThread(kernel::BeginTransfer{Successor.Process});
  for (const auto &Part : takeParts()) {
    auto Answer = send(Successor, encodeTransfer(*Part, *Configuration, Names_),
                       MonotonicClock::now() + PartTimeout);
    if (Answer == Reply::Accepted)
      continue;
    core::logLine(core::LogLevel::Warning, "transfer", "successor did not accept the state",
                  {{"successor", Successor.EntryVm}});
    handleOnKernelThread(kernel::AbortTransfer{});
    return false;
  }
  return true;
}

void StateTransfer::seal(const kernel::MemberRecord &Successor) {
  handleOnKernelThread(kernel::TransferSealSent{});
  std::optional<kernel::SealTransfer> Seal;
  {
    std::lock_guard Guard(Mutex_);
    Seal = Seal_;
  }
  auto Own = Members_.read([](const auto &View) { return View.own(); });
  auto Answer = Reply::Refused;
  if (Seal) {
    peer::TransferRequest Request;
    Request.set_sender_vm(Own.EntryVm);
    Request.set_sender(Own.Process.Value);
    Request.set_receiver(Seal->Receiver.Value);
    Request.set_transfer(Seal->Transfer);
    Request.set_seal(Seal->PartCount);
    Answer = send(Successor, Request, MonotonicClock::now() + SealTimeout);
  }
  core::logLine(
      core::LogLevel::Information, "transfer", "state sealed",
      {{"successor", Successor.EntryVm}, {"accepted", Answer == Reply::Accepted ? "yes" : "no"}});
  if (Answer == Reply::Accepted) {
    Members_.change([&](kernel::Membership &View, core::TimePoint Now, auto &Out) {
      View.announceSuccession({Own.Process, Successor.EntryVm, Successor.Process, Now}, Now, Out);
    });
    handleOnKernelThread(kernel::TransferConfirmed{});
  } else {
    handleOnKernelThread(kernel::TransferUnanswered{});
  }
  std::lock_guard Guard(Mutex_);
  Done_ = true;
}

void StateTransfer::sendOutcomes(const kernel::MemberRecord &Successor) {
  auto Configuration = CurrentConfiguration_.get();
  while (true) {
    std::shared_ptr<const kernel::TransferPart> Part;
    {
      std::unique_lock Lock(Mutex_);
      Sending_ = false;
      Changed_.wait(Lock, [this] { return Stopping_ || !Parts_.empty(); });
      if (Parts_.empty())
        return;
      Part = Parts_.front();
      Parts_.pop_front();
      Sending_ = true;
    }
    send(Successor, encodeTransfer(*Part, *Configuration, Names_),
         MonotonicClock::now() + PartTimeout);
  }
}

StateTransfer::Reply StateTransfer::send(const kernel::MemberRecord &Successor,
                                         const peer::TransferRequest &Request,
                                         core::TimePoint Deadline) {
  while (true) {
    auto Now = MonotonicClock::now();
    auto Result = Client_.call<peer::TransferRequest, peer::TransferReply>(
        Successor.Address, &peer::Peer::Stub::async::Transfer, Request,
        std::min(Deadline, Now + CallTimeout));
    if (Result.Content)
      return Result.Content->accepted() ? Reply::Accepted : Reply::Refused;
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, RetryDelay, [this] { return Stopping_; });
    if (Stopping_ || MonotonicClock::now() >= Deadline)
      return Reply::NoReply;
  }
}

void StateTransfer::addPredecessor(kernel::Incarnation Sender) {
  std::lock_guard Guard(Mutex_);
  if (std::find(Predecessors_.begin(), Predecessors_.end(), Sender) == Predecessors_.end())
    Predecessors_.push_back(Sender);
}

void StateTransfer::tick(core::TimePoint Now) {
  if (Now < NextCheck_)
    return;
  NextCheck_ = Now + PredecessorInterval;
  std::lock_guard Guard(Mutex_);
  std::erase_if(Predecessors_, [this](kernel::Incarnation Sender) {
    bool Ended = Members_.read([&](const kernel::Membership &View) {
      const auto *Record = View.table().find(Sender);
      return !Record || Record->Standing == kernel::MemberStanding::Dead;
    });
    if (Ended)
      Kernel_.postFromSink(kernel::PredecessorEnded{Sender});
    return Ended;
  });
}

} // namespace cornellift::entry
