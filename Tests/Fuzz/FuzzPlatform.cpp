#include "Kernel/Pool/SubmittedJob.h"
#include "Libraries/LibMesh/MeshCoding.h"
#include "platform/CallerMessages.h"
#include "platform/StoreMessages.h"
#include "platform/WorkerMessages.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

using namespace cornellift;

namespace {

constexpr std::size_t MaximumValueBytes = 64;

/// Aborts when the property does not hold; the fuzzer then reports the input.
void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// Whatever is accepted from outside must be readable for other entry processes.
void requireThatPeersRead(const kernel::PoolMessage &Message) {
  mesh::Frame Received;
  require(Received.ParseFromString(mesh::encode(Message, {}).SerializeAsString()));
}

void readCallersBody(std::string_view Text) {
  auto Job = platform::CallerMessages().parseJob(Text);
  if (!Job || !kernel::checkJob(*Job))
    return;
  std::uint64_t Tasks = 0;
  for (const auto &Step : Job->Steps)
    Tasks += Step.Count;
  require(Tasks > 0 && Tasks <= kernel::MaximumJobTasks);
  auto Submission = std::make_shared<kernel::JobSubmission>();
  Submission->Steps = Job->Steps;
  Submission->Specification = Job->Specification;
  requireThatPeersRead(kernel::SubmitToPool{Submission});
}

void readWorkersAnswers(const reactor::HttpResult &Result, std::string_view Text) {
  platform::WorkerMessages Messages;
  auto Poll = Messages.parsePollReply(Result);
  require(Poll.Report.has_value() == (Poll.Verdict == kernel::CommandVerdict::Accepted));
  if (Poll.Report)
    for (std::size_t Next = 1; Next < Poll.Report->Ended.size(); ++Next)
      require(Poll.Report->Ended[Next - 1].Number <= Poll.Report->Ended[Next].Number);
  Messages.parseCommandReply(Result);
  auto Entry = Messages.parseEntry("w", Text, {});
  if (!Entry)
    return;
  require(std::isfinite(Entry->Capacity.Processors) && Entry->Id == "w");
  requireThatPeersRead(kernel::PoolDirectory{1, {*Entry}});
}

void readStoresAnswers(const reactor::HttpResult &Result, std::string_view Text) {
  platform::StoreMessages Messages;
  auto Page = Messages.parsePage(Result, MaximumValueBytes);
  if (Page.Content)
    for (const auto &Item : Page.Content->Items)
      require(Item.Value.size() <= MaximumValueBytes);
  auto Events = Messages.parseEvents(Result, MaximumValueBytes);
  if (Events.Content)
    for (const auto &Event : Events.Content->Events)
      require(Event.Item.Value.size() <= MaximumValueBytes);
  Messages.parseWriteReply(Result);
  Messages.parseLease(Result);
  if (auto Read = Messages.parseConfiguration(Text))
    Read->find("host", "/path");
}

void readPeersFrame(std::string_view Text) {
  mesh::Frame Message;
  if (Message.ParseFromArray(Text.data(), static_cast<int>(Text.size())))
    mesh::decode(Message, core::TimePoint());
}

} // namespace

// Parses everything that other processes send to an entry process on the users' platform.
extern "C" int LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
    const std::uint8_t *Data, std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  reactor::HttpResult Result;
  Result.Reply = reactor::HttpReply{200, std::string(Text), {}};
  readCallersBody(Text);
  readWorkersAnswers(Result, Text);
  readStoresAnswers(Result, Text);
  readPeersFrame(Text);
  return 0;
}
