#include "Services/EntryDaemon/JobRecovery.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;

namespace {

endpoint::JobRecord ended(std::uint32_t Index, kernel::TaskVerdict Verdict) {
  endpoint::Ended End;
  End.Verdict = Verdict;
  End.Result = std::make_shared<const std::string>(std::to_string(Index));
  return {Index, End};
}

} // namespace

BOOST_AUTO_TEST_CASE(AllRecordsMakeAWholeAnswerInTaskOrder) {
  auto Result =
      entry::judgeRecords({{2, {ended(1, kernel::TaskVerdict::Finished)}},
                           {0, {}},
                           {2, {ended(0, kernel::TaskVerdict::Finished)}}});
  const auto *Whole = std::get_if<kernel::Complete>(&Result);
  BOOST_REQUIRE(Whole);
  BOOST_TEST(*Whole->Results[0] == "0");
  BOOST_TEST(*Whole->Results[1] == "1");
}

// Guards against a partial answer, and against "not run" for tasks that only have no record.
BOOST_AUTO_TEST_CASE(MissingRecordsMeanMayHaveRun) {
  auto Result = entry::judgeRecords({{3,
                                      {ended(0, kernel::TaskVerdict::Finished),
                                       ended(2, kernel::TaskVerdict::Failed),
                                       ended(9, kernel::TaskVerdict::Finished)}}});
  const auto *Partial = std::get_if<kernel::MayHaveRun>(&Result);
  BOOST_REQUIRE(Partial);
  BOOST_REQUIRE(Partial->Tasks.size() == 3);
  BOOST_TEST((Partial->Tasks[0] == kernel::TaskOutcome::Finished));
  BOOST_TEST((Partial->Tasks[1] == kernel::TaskOutcome::MayHaveRun));
  BOOST_TEST((Partial->Tasks[2] == kernel::TaskOutcome::Failed));
  BOOST_TEST(std::holds_alternative<kernel::MayHaveRun>(entry::judgeRecords({})));
}
