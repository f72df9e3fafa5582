#include "platform/WorkerMessages.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using kernel::OrderVerdict;

namespace {

const platform::WorkerMessages Messages;

reactor::HttpResult reply(unsigned Status, std::string Body) {
  reactor::HttpResult Result;
  Result.Reply = reactor::HttpReply{Status, std::move(Body), {}};
  return Result;
}

OrderVerdict verdict(unsigned Status, std::string Body = "") {
  return Messages.parseOrderReply(reply(Status, std::move(Body))).Verdict;
}

} // namespace

BOOST_AUTO_TEST_CASE(AReportListsWhatRunsAndWhatHasEndedInOrder) {
  auto Look = Messages.parseLookReply(
      reply(200, R"({"clockMs":5000,"born":77,"running":[["00000000000000aa.0.1.2",3,0,40.5]],
      "finished":[[9,"00000000000000ab.0.0.0",1,"failed",0],
                  [8,"00000000000000ac.0.0.1",2,"done",0],[10,"not a task",1,"done",0]]})"));
  BOOST_REQUIRE((Look.Verdict == OrderVerdict::Accepted));
  BOOST_REQUIRE(Look.Report);
  BOOST_TEST(Look.Report->ClockMilliseconds == 5000);
  BOOST_TEST(Look.Report->BornMilliseconds == 77);
  BOOST_REQUIRE(Look.Report->Running.size() == 1U);
  BOOST_TEST(Look.Report->Running[0].Task.Step == 1U);
  BOOST_TEST(Look.Report->Running[0].Task.Index == 2U);
  BOOST_TEST(Look.Report->Running[0].Run == 3U);
  BOOST_TEST(Look.Report->Running[0].PercentDone == 40.5);
  BOOST_REQUIRE(Look.Report->Ended.size() == 3U);
  BOOST_TEST(Look.Report->Ended[0].Number == 8U);
  BOOST_TEST((Look.Report->Ended[0].How == kernel::RunEnd::Done));
  BOOST_TEST((Look.Report->Ended[1].How == kernel::RunEnd::Failed));
  BOOST_TEST(Look.Report->Ended[2].Number == 10U);
}

// Guards against treating a malformed reply as the report of an idle worker, whose runs would then
// count as lost.
BOOST_AUTO_TEST_CASE(AReplyThatCannotBeReadCountsAsNone) {
  for (const char *Body : {"", "{}", R"({"clockMs":1})", R"({"clockMs":1,"running":[]})",
                           R"({"clockMs":"1","running":[],"finished":[]})",
                           R"({"clockMs":1,"running":{},"finished":[]})", "not json"})
    BOOST_TEST_CONTEXT(Body) {
      auto Look = Messages.parseLookReply(reply(200, Body));
      BOOST_TEST((Look.Verdict == OrderVerdict::NoReply));
      BOOST_TEST(!Look.Report);
    }
}

// Guards against treating an order that may have been carried out as one that was not.
BOOST_AUTO_TEST_CASE(EachStatusHasItsMeaning) {
  BOOST_TEST((verdict(200) == OrderVerdict::Accepted));
  BOOST_TEST((verdict(409, R"({"reason":"fence"})") == OrderVerdict::Fenced));
  BOOST_TEST((verdict(409, R"({"reason":"old"})") == OrderVerdict::Outdated));
  BOOST_TEST((verdict(409, R"({"reason":"late"})") == OrderVerdict::TooLate));
  BOOST_TEST((verdict(409, R"({"reason":"room"})") == OrderVerdict::NoRoom));
  BOOST_TEST((verdict(421) == OrderVerdict::Stranger));
  BOOST_TEST((verdict(429) == OrderVerdict::Unhealthy));
  BOOST_TEST((verdict(503) == OrderVerdict::Unhealthy));
  BOOST_TEST((verdict(500) == OrderVerdict::NoReply));
  BOOST_TEST((verdict(502) == OrderVerdict::NoReply));
  reactor::HttpResult Lost;
  Lost.Failure = reactor::HttpFailure::NoReply;
  BOOST_TEST((Messages.parseOrderReply(Lost).Verdict == OrderVerdict::NoReply));
  Lost.Failure = reactor::HttpFailure::NotSent;
  BOOST_TEST((Messages.parseOrderReply(Lost).Verdict == OrderVerdict::NotSent));
}

BOOST_AUTO_TEST_CASE(OrdersCarryTheirTokenAndTheWorkersName) {
  kernel::StartOrder Order;
  Order.Task = {kernel::parseJobKey("00000000000000aa").value(), 1, 2};
  Order.Run = 3;
  Order.Specification = "s\"x";
  Order.FencingToken = 42;
  Order.StartBy = 900;
  auto Request = Messages.startRequest("w-1", Order);
  BOOST_REQUIRE(Request.Headers.size() == 1U);
  BOOST_TEST(Request.Headers[0].second == "w-1");
  BOOST_TEST(Request.Body == R"({"task":"00000000000000aa.0.1.2","run":3,"spec":"s\"x",)"
                             R"("deadlineMs":900,"fencingToken":42})");
  kernel::LookOrder Look;
  Look.FencingToken = 42;
  Look.LastSeen = 7;
  BOOST_TEST(Messages.lookRequest("w-1", Look).Body == R"({"fencingToken":42,"lastSeen":7})");
  Look.LeaseUntil = 1234;
  Look.WaitMilliseconds = 50;
  BOOST_TEST(Messages.lookRequest("w-1", Look).Body ==
             R"({"fencingToken":42,"lastSeen":7,"deadlineMs":1234,"waitMs":50})");
}

BOOST_AUTO_TEST_CASE(AnEntryTellsAddressRoomAndLabels) {
  auto Entry = Messages.parseEntry(
      "w-1", R"({"address":"10.0.0.1:80","zone":"ikeja","service":"slip","state":"draining",
      "slots":4,"capacity":{"cpu":2500,"memMb":64,"gpus":1},"labels":["type-a","rack-4"],
      "born":5})");
  BOOST_REQUIRE(Entry);
  BOOST_TEST(Entry->DataCentre == "ikeja");
  BOOST_TEST((Entry->Standing == kernel::WorkerStanding::Draining));
  BOOST_TEST(Entry->Slots == 4U);
  BOOST_TEST(Entry->Capacity.Processors == 2.5);
  BOOST_TEST(Entry->Labels.size() == 2U);
}

// Guards against accepting a malformed entry, which would give a worker capacity that it lacks.
BOOST_AUTO_TEST_CASE(EntriesThatCannotBeReadAreRefused) {
  for (const char *Value :
       {"", "{}", R"({"address":"a","zone":"z","service":"s","state":"ready","slots":1})",
        R"({"address":"a","zone":"z","service":"s","state":"asleep","slots":1,
            "capacity":{"cpu":1,"memMb":1}})",
        R"({"address":1,"zone":"z","service":"s","state":"ready","slots":1,
            "capacity":{"cpu":1,"memMb":1}})"})
    BOOST_TEST_CONTEXT(Value) { BOOST_TEST(!Messages.parseEntry("w", Value)); }
}
