#include "platform/WorkerMessages.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using kernel::CommandVerdict;
using namespace std::chrono_literals;

namespace {

const platform::WorkerMessages Messages;

reactor::HttpResult reply(unsigned Status, std::string Body) {
  reactor::HttpResult Result;
  Result.Reply = reactor::HttpReply{Status, std::move(Body), {}};
  return Result;
}

CommandVerdict verdict(unsigned Status, std::string Body = "") {
  return Messages.parseCommandReply(reply(Status, std::move(Body))).Verdict;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReportListsRunningAndEndedTasksInOrder) {
  auto Poll = Messages.parsePollReply(
      reply(200, R"({"clockMs":5000,"born":77,"running":[["00000000000000aa.0.1.2",3,0,40.5]],
      "finished":[[9,"00000000000000ab.0.0.0",1,"failed",0],
                  [8,"00000000000000ac.0.0.1",2,"done",0],[10,"not a task",1,"done",0]]})"));
  BOOST_REQUIRE((Poll.Verdict == CommandVerdict::Accepted));
  BOOST_REQUIRE(Poll.Report);
  BOOST_TEST(Poll.Report->ClockMilliseconds == 5000);
  BOOST_TEST(Poll.Report->StartedMilliseconds == 77);
  BOOST_REQUIRE(Poll.Report->Running.size() == 1U);
  BOOST_TEST(Poll.Report->Running[0].Task.Step == 1U);
  BOOST_TEST(Poll.Report->Running[0].Task.Index == 2U);
  BOOST_TEST(Poll.Report->Running[0].Run == 3U);
  BOOST_TEST(Poll.Report->Running[0].PercentDone == 40.5);
  BOOST_REQUIRE(Poll.Report->Ended.size() == 3U);
  BOOST_TEST(Poll.Report->Ended[0].Number == 8U);
  BOOST_TEST((Poll.Report->Ended[0].How == kernel::RunEnd::Done));
  BOOST_TEST((Poll.Report->Ended[1].How == kernel::RunEnd::Failed));
  BOOST_TEST(Poll.Report->Ended[2].Number == 10U);
}

// Guards against treating a malformed reply as the report of an idle worker, whose runs would then
// count as lost.
BOOST_AUTO_TEST_CASE(MalformedReplyCountsAsNoReply) {
  for (const char *Body : {"", "{}", R"({"clockMs":1})", R"({"clockMs":1,"running":[]})",
                           R"({"clockMs":"1","running":[],"finished":[]})",
                           R"({"clockMs":1,"running":{},"finished":[]})", "not json"})
    BOOST_TEST_CONTEXT(Body) {
      auto Poll = Messages.parsePollReply(reply(200, Body));
      BOOST_TEST((Poll.Verdict == CommandVerdict::NoReply));
      BOOST_TEST(!Poll.Report);
    }
}

// Guards against treating a command that may have been carried out as one that was not.
BOOST_AUTO_TEST_CASE(StatusCodesMapToVerdicts) {
  BOOST_TEST((verdict(200) == CommandVerdict::Accepted));
  BOOST_TEST((verdict(409, R"({"reason":"fence"})") == CommandVerdict::Fenced));
  BOOST_TEST((verdict(409, R"({"reason":"old"})") == CommandVerdict::Outdated));
  BOOST_TEST((verdict(409, R"({"reason":"late"})") == CommandVerdict::TooLate));
  BOOST_TEST((verdict(409, R"({"reason":"room"})") == CommandVerdict::NoCapacity));
  BOOST_TEST((verdict(421) == CommandVerdict::Misdirected));
  BOOST_TEST((verdict(429) == CommandVerdict::Unhealthy));
  BOOST_TEST((verdict(503) == CommandVerdict::Unhealthy));
  BOOST_TEST((verdict(500) == CommandVerdict::NoReply));
  BOOST_TEST((verdict(502) == CommandVerdict::NoReply));
  reactor::HttpResult Lost;
  Lost.Failure = reactor::HttpFailure::NoReply;
  BOOST_TEST((Messages.parseCommandReply(Lost).Verdict == CommandVerdict::NoReply));
  Lost.Failure = reactor::HttpFailure::NotSent;
  BOOST_TEST((Messages.parseCommandReply(Lost).Verdict == CommandVerdict::NotSent));
}

BOOST_AUTO_TEST_CASE(RequestsCarryFencingTokenAndWorkerId) {
  kernel::StartCommand Command;
  Command.Task = {kernel::parseJobKey("00000000000000aa").value(), 1, 2};
  Command.Run = 3;
  Command.Specification = "s\"x";
  Command.FencingToken = 42;
  Command.StartBy = 900;
  auto Request = Messages.startRequest("w-1", Command);
  BOOST_REQUIRE(Request.Headers.size() == 1U);
  BOOST_TEST(Request.Headers[0].second == "w-1");
  BOOST_TEST(Request.Body == R"({"task":"00000000000000aa.0.1.2","run":3,"spec":"s\"x",)"
                             R"("deadlineMs":900,"fencingToken":42})");
  kernel::PollCommand Poll;
  Poll.FencingToken = 42;
  Poll.LastSeen = 7;
  BOOST_TEST(Messages.pollRequest("w-1", Poll).Body == R"({"fencingToken":42,"lastSeen":7})");
  Poll.LeaseUntil = 1234;
  Poll.WaitMilliseconds = 50;
  BOOST_TEST(Messages.pollRequest("w-1", Poll).Body ==
             R"({"fencingToken":42,"lastSeen":7,"deadlineMs":1234,"waitMs":50})");
}

BOOST_AUTO_TEST_CASE(WorkerEntryIsParsed) {
  auto Entry = Messages.parseEntry(
      "w-1", R"({"address":"10.0.0.1:80","zone":"ikeja","service":"slip","state":"draining",
      "slots":4,"capacity":{"cpu":2500,"memMb":64,"gpus":1},"labels":["type-a","rack-4"],
      "born":5,"coldLeftMs":1500,"remainingMs":2500})",
      core::TimePoint(1h));
  BOOST_REQUIRE(Entry);
  BOOST_TEST(Entry->DataCentre == "ikeja");
  BOOST_TEST((Entry->State == kernel::WorkerState::Draining));
  BOOST_TEST(Entry->Slots == 4U);
  BOOST_TEST(Entry->Capacity.Processors == 2.5);
  BOOST_TEST(Entry->Labels.size() == 2U);
  BOOST_TEST((Entry->ColdUntil == core::TimePoint(1h + 1500ms)));
  BOOST_TEST((Entry->StaysUntil == core::TimePoint(1h + 2500ms)));
}

// Guards against accepting a malformed entry, which would give a worker capacity that it lacks.
BOOST_AUTO_TEST_CASE(MalformedEntriesAreRejected) {
  for (const char *Value :
       {"", "{}", R"({"address":"a","zone":"z","service":"s","state":"ready","slots":1})",
        R"({"address":"a","zone":"z","service":"s","state":"asleep","slots":1,
            "capacity":{"cpu":1,"memMb":1}})",
        R"({"address":1,"zone":"z","service":"s","state":"ready","slots":1,
            "capacity":{"cpu":1,"memMb":1}})"})
    BOOST_TEST_CONTEXT(Value) { BOOST_TEST(!Messages.parseEntry("w", Value, {})); }
}

// Guards against an entry of another writer whose text other entry processes cannot read: it
// blocked the links from the manager of its data centre, so that delegated tasks ran twice.
BOOST_AUTO_TEST_CASE(EntriesWithTextThatIsNotUtf8AreRejected) {
  auto EntryWith = [](const std::string &Service, const std::string &Label) {
    return R"({"address":"10.0.0.1:80","zone":"ikeja","service":")" + Service +
           R"(","state":"ready","slots":4,"capacity":{"cpu":2500,"memMb":64},"labels":[")" + Label +
           R"("],"born":5})";
  };
  BOOST_TEST(
      Messages.parseEntry("w", EntryWith("slip", "\xc3\xa9\\u00e9\\ud83d\\ude00"), {}).has_value());
  // Any bytes, a surrogate, an overlong encoding, a cut sequence, and an escaped lone surrogate.
  for (const char *Odd : {"\xff\xfe", "\xed\xa0\x80", "\xc0\xaf", "a\xc3", "\\udc00"})
    BOOST_TEST_CONTEXT(Odd) {
      BOOST_TEST(!Messages.parseEntry("w", EntryWith(Odd, "type-a"), {}));
      BOOST_TEST(!Messages.parseEntry("w", EntryWith("slip", Odd), {}));
    }
  BOOST_TEST(!Messages.parseEntry("w\xff", EntryWith("slip", "type-a"), {}));
}

// Guards against entries of another writer that take a hundred times their length in memory.
BOOST_AUTO_TEST_CASE(EntriesWithThousandsOfLabelsAreRejected) {
  auto EntryWith = [](std::size_t Labels) {
    std::string Text = R"({"address":"10.0.0.1:80","zone":"ikeja","service":"slip","state":"ready",
      "slots":4,"capacity":{"cpu":2500,"memMb":64},"labels":["")";
    for (std::size_t Each = 1; Each < Labels; ++Each)
      Text += ",\"\"";
    return Text + "]}";
  };
  BOOST_TEST(Messages.parseEntry("w", EntryWith(8), {}).has_value());
  BOOST_TEST(!Messages.parseEntry("w", EntryWith(5300), {}));
}

// Guards against a worker whose ends of tasks are lost because of bytes that nobody uses.
BOOST_AUTO_TEST_CASE(RepliesWithOddBytesAreRead) {
  auto Poll = Messages.parsePollReply(
      reply(200, "{\"clockMs\":1,\"note\":\"\xff\",\"running\":[],"
                 "\"finished\":[[1,\"00000000000000ab.0.0.0\",1,\"done\",\"\xfe\"]]}"));
  BOOST_REQUIRE(Poll.Report);
  BOOST_TEST(Poll.Report->Ended.size() == 1U);
}
