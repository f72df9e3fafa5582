#include "Utilities/Operator/PlacementQuestion.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string_view>

namespace cornellift::operators {
namespace {

using core::ExitStatus;

constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr int FirstServerError = 500;

std::string messageOf(const Reply &Answer) {
  return Answer.Body.value("message", "status " + std::to_string(Answer.Status));
}

} // namespace

bool isPlainAddressPart(const std::string &Text) {
  constexpr std::string_view Others = "-._~:/";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [&](unsigned char Letter) {
    return std::isalnum(Letter) || Others.find(static_cast<char>(Letter)) != Others.npos;
  });
}

PlacementAnswer PlacementQuestion::ask(const AskedRequest &Asked) const {
  auto Target = "/where" + Asked.Path + "?host=" + Asked.Host;
  if (Asked.WaitMilliseconds > 0)
    Target += "&wait_ms=" + std::to_string(Asked.WaitMilliseconds);
  std::string Problem;
  for (std::size_t Entry = 0; Entry < Client_.count(); ++Entry) {
    Delivery Failure{};
    auto Answer = Client_.send(Entry, "POST", Target, Asked.Body, Deadline_, Failure);
    if (!Answer)
      Problem = core::lastReason().Message + "; is it the address of the VM's metrics?";
    else if (Answer->Status == StatusOk)
      return {ExitStatus::Success, {}, std::move(Answer->Body)};
    else if (Answer->Status == StatusMisdirected)
      return askManager(Target, Asked, Answer->Body.value("manager", std::string()));
    else if (Answer->Status < FirstServerError)
      return {ExitStatus::RequestFailed, messageOf(*Answer), {}};
    else
      Problem = messageOf(*Answer);
  }
  return {ExitStatus::Unreachable, Problem, {}};
}

PlacementAnswer PlacementQuestion::askManager(const std::string &Target, const AskedRequest &Asked,
                                              const std::string &Manager) const {
  auto ManagerTarget = Target;
  ManagerTarget += "&manager=";
  ManagerTarget += Manager;
  for (std::size_t Entry = 0; isPlainAddressPart(Manager) && Entry < Client_.count(); ++Entry) {
    Delivery Failure{};
    auto Answer = Client_.send(Entry, "POST", ManagerTarget, Asked.Body, Deadline_, Failure);
    if (Answer && Answer->Status == StatusOk)
      return {ExitStatus::Success, {}, std::move(Answer->Body)};
  }
  return {ExitStatus::RequestFailed,
          "requests there go to the manager of VM " + Manager +
              ", which does not answer at any address of --entry; add that of its metrics",
          {}};
}

} // namespace cornellift::operators
