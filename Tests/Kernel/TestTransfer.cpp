#include "DispatcherFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

namespace {

constexpr Incarnation SuccessorName{0xB0B};

/// A stopping process with a running job, a queued job, an ended job and an unused identifier.
struct TransferFixture {
  TransferFixture() {
    Sender.submit(Running, DispatcherFixture::spec(1));
    Sender.submit(Ended, DispatcherFixture::spec(3));
    auto Started = Sender.take<StartTask>();
    Task = Started.at(0);
    Blocker = Sender.newId();
    Sender.submit(Blocker, DispatcherFixture::spec(3));
    Queued = Sender.newId();
    Waiter = Sender.submit(Queued, DispatcherFixture::spec(2));
    for (std::size_t Index : {1, 2, 3})
      Sender.finish(Started.at(Index));
    Sender.take<StartTask>();
    Sender.handle(StopRequested{});
    Sender.handle(BeginTransfer{SuccessorName});
    Parts = Sender.take<SendTransferPart>();
  }

  /// Returns the successor's replies.
  std::vector<TransferReply> send(const std::vector<SendTransferPart> &Sent) {
    std::vector<TransferReply> Replies;
    for (const auto &Each : Sent) {
      auto Request = Successor.newRequest();
      Successor.handle(TransferReceived{Request, Each.Part});
      Replies.push_back(std::get<TransferReply>(*Successor.response(Request)));
    }
    return Replies;
  }

  TransferReply seal() {
    Sender.handle(TransferSealSent{});
    auto Call = Sender.take<SealTransfer>().at(0);
    auto Request = Successor.newRequest();
    Successor.handle(TransferSealed{Request, DispatcherFixture::Own, Call.Receiver, Call.Transfer,
                                    Call.PartCount});
    return std::get<TransferReply>(*Successor.response(Request));
  }

  DispatcherFixture Sender;
  DispatcherFixture Successor{SuccessorName};
  JobId Running = Sender.newId();
  JobId Ended = Sender.newId();
  JobId Unused = Sender.newId();
  JobId Blocker;
  JobId Queued;
  RequestId Waiter{};
  StartTask Task;
  std::vector<SendTransferPart> Parts;
};

} // namespace

// Guards against two owners of a job: the parts have no effect before the seal, and the sender does
// not start the jobs in them afterwards.
BOOST_AUTO_TEST_CASE(SealMovesOwnership) {
  TransferFixture Test;
  BOOST_TEST((Test.send(Test.Parts) == std::vector{TransferReply::Accepted}));
  BOOST_TEST(Test.Successor.take<StartTask>().empty());
  auto Early = Test.Successor.response(Test.Successor.askOutcome(Test.Queued));
  BOOST_TEST(std::holds_alternative<WrongIssuer>(*Early));
  BOOST_TEST((Test.seal() == TransferReply::Accepted));
  auto Started = Test.Successor.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 2);
  BOOST_TEST((Started[0].Task.Job == Test.Queued));
  Test.Sender.handle(TransferConfirmed{});
  Test.Sender.finish(Test.Task);
  BOOST_TEST(Test.Sender.take<StartTask>().empty());
  BOOST_TEST(std::holds_alternative<WrongIssuer>(*Test.Sender.response(Test.Waiter)));
  BOOST_TEST(Test.Successor.outcome<Complete>(Test.Successor.askOutcome(Test.Ended)));
  Test.Successor.submit(Test.Unused, DispatcherFixture::spec(1));
  BOOST_TEST(Test.Successor.take<StartTask>().size() == 1);
}

// Guards against a caller of the successor that never learns the outcome of a job that the sender
// finished, also when the reply to the seal call was lost.
BOOST_AUTO_TEST_CASE(OutcomesAreForwardedAfterTheSeal) {
  for (const auto &Decision : {Event(TransferConfirmed{}), Event(TransferUnanswered{})}) {
    TransferFixture Test;
    Test.send(Test.Parts);
    Test.seal();
    auto Request = Test.Successor.askOutcome(Test.Running);
    BOOST_TEST(!Test.Successor.response(Request));
    Test.Sender.finish(Test.Task);
    Test.Sender.handle(Decision);
    Test.send(Test.Sender.take<SendTransferPart>());
    BOOST_TEST(Test.Successor.outcome<Complete>(Request));
    auto Left = Test.Successor.askOutcome(Test.Blocker);
    Test.Successor.handle(PredecessorEnded{DispatcherFixture::Own});
    BOOST_TEST(Test.Successor.outcome<MayHaveRun>(Left));
  }
}

// Guards against a double start when the reply to the seal call is lost.
BOOST_AUTO_TEST_CASE(UnansweredSealIsNotUndone) {
  TransferFixture Test;
  Test.send(Test.Parts);
  Test.seal();
  Test.Sender.handle(AbortTransfer{});
  Test.Sender.handle(TransferUnanswered{});
  Test.Sender.finish(Test.Task);
  BOOST_TEST(Test.Sender.take<StartTask>().empty());
  BOOST_TEST(Test.Sender.outcome<MayHaveRun>(Test.Waiter));
  auto Submission = Test.Sender.submit(Test.Unused, DispatcherFixture::spec(1));
  BOOST_TEST(Test.Sender.outcome<MayHaveRun>(Submission));
}

// Guards against the successor starting a job that the sender took back by an abort.
BOOST_AUTO_TEST_CASE(AbortedPartsAreReplaced) {
  TransferFixture Test;
  Test.send(Test.Parts);
  Test.Sender.handle(AbortTransfer{});
  Test.Sender.finish(Test.Task);
  BOOST_TEST(Test.Sender.take<StartTask>().size() == 1);
  Test.Sender.handle(BeginTransfer{SuccessorName});
  auto Later = Test.Sender.take<SendTransferPart>();
  BOOST_TEST((Test.send(Later) == std::vector{TransferReply::Accepted}));
  BOOST_TEST((Test.send(Test.Parts) == std::vector{TransferReply::Rejected}));
  BOOST_TEST((Test.seal() == TransferReply::Accepted));
  BOOST_TEST(Test.Successor.take<StartTask>().empty());
}

// Guards against a successor, whose clock is behind, that accepts an identifier that the sender
// reported as not run because it had expired.
BOOST_AUTO_TEST_CASE(ExpiryIsHandedOver) {
  DispatcherFixture Sender;
  DispatcherFixture Successor(SuccessorName);
  auto Job = Sender.newId();
  Sender.tickAfter(Sender.Limits.IdentifierLifetime);
  BOOST_TEST(Sender.outcome<NotRun>(Sender.askOutcome(Job)));
  Sender.handle(BeginTransfer{SuccessorName});
  for (const auto &Each : Sender.take<SendTransferPart>())
    Successor.handle(TransferReceived{Successor.newRequest(), Each.Part});
  Successor.handle(
      TransferSealed{Successor.newRequest(), DispatcherFixture::Own, SuccessorName, 1, 1});
  BOOST_TEST(Successor.outcome<NotRun>(Successor.submit(Job, DispatcherFixture::spec(1))));
  BOOST_TEST(Successor.take<StartTask>().empty());
}

// Guards against a process that exits with work left, or never.
BOOST_AUTO_TEST_CASE(DrainedWhenNothingIsLeft) {
  TransferFixture Test;
  Test.send(Test.Parts);
  Test.seal();
  Test.Sender.handle(TransferConfirmed{});
  Test.Sender.handle(CancelJob{Test.Sender.newRequest(), Test.Blocker});
  BOOST_TEST(Test.Sender.take<Drained>().empty());
  Test.Sender.finish(Test.Task);
  Test.Sender.tickAfter(std::chrono::minutes(2));
  for (int Round = 0; Round < 2; ++Round)
    for (const auto &Each : Test.Sender.take<AskTask>())
      Test.Sender.handle(TaskEnded{Each.Task, Each.Endpoint, {}, nullptr, {}, {}, Each.Attempt});
  BOOST_TEST(Test.Sender.take<Drained>().size() == 1);
}

// Guards against jobs that never end, and callers that get no outcome, when the time for a planned
// stop runs out and the process has no free slots.
BOOST_AUTO_TEST_CASE(OverdueStopEndsWhatIsLeft) {
  DispatcherFixture Test;
  auto Partial = Test.newId();
  auto Waiter = Test.submit(Partial, DispatcherFixture::spec(6));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(!Started.empty() && Started.size() < 6);
  auto Queued = Test.newId();
  auto Second = Test.submit(Queued, DispatcherFixture::spec(2));
  Test.handle(StopRequested{});
  Test.handle(StopOverdue{});
  BOOST_TEST(Test.outcome<NotRun>(Second));
  for (const auto &Task : Started)
    Test.finish(Task);
  BOOST_TEST(Test.take<StartTask>().empty());
  auto Ended = Test.outcome<MayHaveRun>(Waiter);
  BOOST_REQUIRE(Ended);
  BOOST_TEST((Ended->Tasks.front() == TaskOutcome::Finished));
  BOOST_TEST((Ended->Tasks.back() == TaskOutcome::NotRun));
}
