#include "Kernel/Transfer/TransferPartWriter.h"

#include "Kernel/Jobs/OutcomeStore.h"

#include <utility>

namespace cornellift::kernel {

TransferPartWriter::TransferPartWriter(Incarnation Sender, Incarnation Receiver,
                                       std::uint32_t Transfer, TransferPart::Content Kind) {
  Open_.Sender = Sender;
  Open_.Receiver = Receiver;
  Open_.Transfer = Transfer;
  Open_.Kind = Kind;
}

void TransferPartWriter::add(const IdentifierIssuer &Identifiers) {
  auto Issuer = Identifiers.transferredIssuer();
  partFor(sizeof Issuer).Issuers.push_back(Issuer);
  for (const auto &Block : Identifiers.transferredBlocks()) {
    partFor(sizeof Block).Blocks.push_back(Block);
  }
}

void TransferPartWriter::add(TransferredJob Job) {
  auto Bytes = sizeof Job + Job.Spec.Tasks.size() * sizeof(TaskSpec);
  for (const auto &Task : Job.Spec.Tasks)
    Bytes += Task.PayloadBytes;
  partFor(Bytes).Jobs.push_back(std::move(Job));
}

void TransferPartWriter::add(const TransferredRunning &Job) {
  partFor(sizeof Job).Running.push_back(Job);
}

void TransferPartWriter::add(const TransferredOutcome &Ended) {
  partFor(sizeof Ended + OutcomeStore::bytesOf(*Ended.Result)).Outcomes.push_back(Ended);
}

std::vector<std::shared_ptr<const TransferPart>> TransferPartWriter::take() {
  closePart();
  return std::exchange(Closed_, {});
}

TransferPart &TransferPartWriter::partFor(std::uint64_t Bytes) {
  if (OpenItems_ > 0 && (OpenItems_ >= MaximumItems || OpenBytes_ + Bytes > MaximumBytes))
    closePart();
  ++OpenItems_;
  OpenBytes_ += Bytes;
  return Open_;
}

void TransferPartWriter::closePart() {
  TransferPart Next;
  Next.Sender = Open_.Sender;
  Next.Receiver = Open_.Receiver;
  Next.Transfer = Open_.Transfer;
  Next.Kind = Open_.Kind;
  Next.Number = Open_.Number + 1;
  Closed_.push_back(std::make_shared<const TransferPart>(std::exchange(Open_, std::move(Next))));
  OpenItems_ = 0;
  OpenBytes_ = 0;
}

} // namespace cornellift::kernel
