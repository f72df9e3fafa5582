#include "Services/EntryDaemon/CallerMessages.h"

#include <nlohmann/json.hpp>

namespace cornellift::entry {
namespace {

using Json = nlohmann::json;

std::string dump(const Json &Object) {
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const char *toString(kernel::TaskOutcome State) {
  switch (State) {
  case kernel::TaskOutcome::Finished:
    return "finished";
  case kernel::TaskOutcome::Failed:
    return "failed";
  case kernel::TaskOutcome::MayHaveRun:
    return "may_have_run";
  case kernel::TaskOutcome::NotRun:
    return "not_run";
  }
  return "may_have_run";
}

ForwardedResponse render(std::string_view Id, const kernel::Complete &Result) {
  // Results are up to 1 MB each; encoding one task at a time limits the peak memory use.
  auto Text = R"({"id":)" + dump(Id) + R"(,"outcome":"complete","results":[)";
  for (const auto &Entry : Result.Results) {
    if (Text.back() != '[')
      Text += ',';
    Text += dump(*Entry);
  }
  return {200, Text + "]}"};
}

ForwardedResponse render(std::string_view Id, const kernel::NotRun &Result) {
  Json Body = {{"id", Id},
               {"outcome", "not_run"},
               {"applies_to", "job"},
               {"kind", core::toString(Result.Kind)},
               {"message", Result.Reason}};
  if (Result.RetryAt)
    Body["retry_at_ms"] = core::toWallClock(*Result.RetryAt);
  return {httpStatus(Result.Kind), dump(Body)};
}

ForwardedResponse render(std::string_view Id, const kernel::MayHaveRun &Result) {
  Json Tasks = Json::array();
  for (auto State : Result.Tasks)
    Tasks.push_back(toString(State));
  return {httpStatus(core::ErrorKind::Conflict), dump({{"id", Id},
                                                       {"outcome", "may_have_run"},
                                                       {"kind", core::toString(Result.Kind)},
                                                       {"message", Result.Reason},
                                                       {"tasks", Tasks}})};
}

} // namespace

std::uint32_t httpStatus(core::ErrorKind Kind) {
  switch (Kind) {
  case core::ErrorKind::Malformed:
    return 400;
  case core::ErrorKind::TooLarge:
    return 413;
  case core::ErrorKind::Unauthorized:
    return 401;
  case core::ErrorKind::NotFound:
    return 404;
  case core::ErrorKind::Conflict:
    return 409;
  case core::ErrorKind::Unavailable:
  case core::ErrorKind::Overloaded:
    return 503;
  case core::ErrorKind::Timeout:
    return 504;
  case core::ErrorKind::Expired:
    return 410;
  case core::ErrorKind::Unsupported:
    return 501;
  case core::ErrorKind::Internal:
    return 500;
  }
  return 500;
}

ForwardedResponse renderRefusal(const core::Reason &Cause) {
  return {httpStatus(Cause.Kind), dump({{"outcome", "not_run"},
                                        {"applies_to", "request"},
                                        {"kind", core::toString(Cause.Kind)},
                                        {"message", Cause.Message}})};
}

ForwardedResponse renderUnknown(core::ErrorKind Kind, std::string_view Message) {
  return {httpStatus(Kind), dump({{"outcome", "may_have_run"},
                                  {"kind", core::toString(Kind)},
                                  {"message", Message},
                                  {"tasks", Json::array()}})};
}

ForwardedResponse renderOutcome(std::string_view Id, const kernel::Outcome &Result) {
  return std::visit([Id](const auto &Content) { return render(Id, Content); }, Result);
}

ForwardedResponse renderStatus(std::string_view Id, const kernel::JobStatus &Status) {
  Json Body = {
      {"id", Id},
      {"outcome", "pending"},
      {"waiting", Status.Waiting},
      {"running", Status.Running},
      {"ended", Status.Ended},
      {"expected_late", Status.Expectation == kernel::JobStatus::Punctuality::ExpectedLate}};
  if (Status.ExpectedEnd)
    Body["expected_end_ms"] = core::toWallClock(*Status.ExpectedEnd);
  return {202, dump(Body)};
}

std::string blockText(std::string_view EntryVm, const kernel::IdentifierBlock &Block) {
  auto First = kernel::formatJobId(EntryVm, {Block.Issuer, Block.First});
  return dump({{"issuer", First.substr(0, First.rfind('.'))},
               {"first", Block.First},
               {"count", Block.Count},
               {"deadline_ms", core::toWallClock(Block.Deadline)}});
}

} // namespace cornellift::entry
