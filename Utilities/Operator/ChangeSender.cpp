#include "Utilities/Operator/ChangeSender.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>

namespace cornellift::operators {
namespace {

using core::ExitStatus;
using nlohmann::json;

/// An entry VM retries a slow store for up to 10 s, and then reads back the result.
constexpr core::Duration AnswerTimeout = std::chrono::seconds(25);

constexpr std::int64_t MinimumBackoffMilliseconds = 100;
constexpr std::int64_t MaximumBackoffMilliseconds = 1000;

void waitBeforeRetry() {
  static std::mt19937_64 Random{std::random_device()()};
  std::uniform_int_distribution<std::int64_t> Draw(MinimumBackoffMilliseconds,
                                                   MaximumBackoffMilliseconds);
  std::this_thread::sleep_for(std::chrono::milliseconds(Draw(Random)));
}

SentChange makeUnconfirmedResult(const OutgoingChange &Change, Delivery Sent,
                                 const std::string &Problem) {
  if (Sent == Delivery::NeverSent)
    return {ExitStatus::Unreachable, {{"outcome", "not_applied"}, {"message", Problem}}};
  return {
      ExitStatus::OutcomeUnknown,
      {{"outcome", "may_have_been_applied"},
       {"message", Problem + "; to find out, repeat the command with --patch-id " + Change.PatchId +
                       " --base-version " + std::to_string(Change.BaseVersion)}}};
}

} // namespace

SentChange ChangeSender::send(const OutgoingChange &Change) const {
  auto Text = json{{"base_version", Change.BaseVersion},
                   {"patch_id", Change.PatchId},
                   {"why", Change.Why},
                   {"patch", Change.Patch}}
                  .dump(-1, ' ', false, json::error_handler_t::replace);
  auto Sent = Delivery::NeverSent;
  std::string Problem = "timed out before the first attempt; give a longer --timeout-ms";
  for (std::size_t Attempt = 0; core::MonotonicClock::now() < Deadline_; ++Attempt) {
    auto Until = std::min(Deadline_, core::MonotonicClock::now() + AnswerTimeout);
    Delivery Failure{};
    auto Answer =
        Client_.send(Attempt % Client_.count(), "PATCH", "/v1/configuration", Text, Until, Failure);
    auto Outcome = Answer ? Answer->Body.value("outcome", std::string()) : std::string();
    if (Outcome == "applied")
      return {ExitStatus::Success, Answer->Body};
    // When an earlier attempt has an unknown outcome, a rejected key on this one does not settle
    // it.
    if (Outcome == "not_applied" && (Answer->Status != 401 || Sent == Delivery::NeverSent))
      return {ExitStatus::RequestFailed, Answer->Body};
    if (Answer || Failure == Delivery::MayHaveArrived)
      Sent = Delivery::MayHaveArrived;
    Problem = Answer ? Answer->Body.value("message", "the answer has no outcome")
                     : core::lastReason().Message;
    waitBeforeRetry();
  }
  return makeUnconfirmedResult(Change, Sent, Problem);
}

std::string makePatchId() {
  std::random_device Source;
  std::ostringstream Out;
  Out << std::hex << std::setfill('0');
  for (int Part = 0; Part < 4; ++Part)
    Out << std::setw(8) << Source();
  return Out.str();
}

} // namespace cornellift::operators
