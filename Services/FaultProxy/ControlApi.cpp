#include "Services/FaultProxy/ControlApi.h"

#include "Libraries/LibCore/Reason.h"

#include <future>
#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace cornellift::fault {
namespace {

using nlohmann::json;

constexpr int BadRequest = 400;
constexpr std::uint32_t MaximumDelayMilliseconds = 60000;

bool matches(const std::string &Name, const std::string &Pattern) {
  if (!Pattern.empty() && Pattern.back() == '*')
    return Name.compare(0, Pattern.size() - 1, Pattern, 0, Pattern.size() - 1) == 0;
  return Name == Pattern;
}

/// Runs a function on the I/O thread and waits for its result.
template <typename Work> auto runOn(boost::asio::io_context &Context, Work Do) {
  std::packaged_task<decltype(Do())()> Task(std::move(Do));
  auto Result = Task.get_future();
  boost::asio::post(Context, [&Task] { Task(); });
  return Result.get();
}

bool setAdmission(Link &Target, const json &Body) {
  auto Mode = Body.value("mode", std::string());
  if (Mode == "pass")
    Target.setAdmission(Admission::Pass);
  else if (Mode == "refuse")
    Target.setAdmission(Admission::Refuse);
  else if (Mode == "hang")
    Target.setAdmission(Admission::Hang);
  else
    return core::failFalse(core::ErrorKind::Malformed, "\"mode\" is pass, refuse or hang");
  return true;
}

bool setDelay(Link &Target, const json &Body) {
  auto Milliseconds = Body.value("milliseconds", std::int64_t{-1});
  if (Milliseconds < 0 || Milliseconds > MaximumDelayMilliseconds)
    return core::failFalse(core::ErrorKind::Malformed, "\"milliseconds\" is 0 to 60000");
  Target.setDelay(static_cast<std::uint32_t>(Milliseconds));
  return true;
}

bool applyToOpen(Link &Target, const json &Body) {
  auto Action = parseAction(Body.value("action", std::string()));
  if (!Action)
    return false;
  Target.applyToOpen(*Action);
  return true;
}

} // namespace

ControlApi::ControlApi(boost::asio::io_context &Context,
                       std::map<std::string, std::shared_ptr<Link>> Links)
    : Context_(Context), Links_(std::move(Links)) {}

void ControlApi::registerRoutes(httplib::Server &Server) {
  Server.Get("/links", [this](const httplib::Request &, httplib::Response &Answer) {
    auto Described = runOn(Context_, [this] {
      json All = json::array();
      for (const auto &[Name, Known] : Links_)
        All.push_back(Known->describe());
      return All;
    });
    Answer.set_content(Described.dump(), "application/json");
  });
  addChange(Server, "admission", setAdmission);
  addChange(Server, "delay", setDelay);
  addChange(Server, "open", applyToOpen);
  addChange(Server, "heal", [](Link &Target, const json &) {
    Target.heal();
    return true;
  });
  addChange(Server, "rule", [this](Link &Target, const json &Body) {
    auto Parsed = parseRule(Body);
    if (!Parsed)
      return false;
    Parsed->Id = NextRule_++;
    Target.addRule(*Parsed);
    return true;
  });
}

void ControlApi::addChange(httplib::Server &Server, const std::string &Verb, Change Apply) {
  Server.Post("/links/([^/]+)/" + Verb, [this,
                                         Apply = std::move(Apply)](const httplib::Request &Request,
                                                                   httplib::Response &Answer) {
    auto Body = Request.body.empty() ? json::object() : json::parse(Request.body, nullptr, false);
    auto Pattern = Request.matches[1].str();
    std::string Problem;
    bool Done = Body.is_object() && runOn(Context_, [&] {
                  bool Applied = applyToMatching(Pattern, Body, Apply);
                  if (!Applied)
                    Problem = core::lastReason().Message;
                  return Applied;
                });
    if (!Done) {
      Answer.status = BadRequest;
      Problem = Body.is_object() ? Problem : "the body must be a JSON object";
    }
    Answer.set_content(json{{"done", Done}, {"problem", Problem}}.dump(), "application/json");
  });
}

bool ControlApi::applyToMatching(const std::string &Pattern, const json &Body,
                                 const Change &Apply) {
  bool Found = false;
  for (const auto &[Name, Known] : Links_) {
    if (!matches(Name, Pattern))
      continue;
    Found = true;
    if (!Apply(*Known, Body))
      return false;
  }
  if (!Found)
    return core::failFalse(core::ErrorKind::NotFound,
                           "no link is called " + Pattern + "; see GET /links");
  return true;
}

} // namespace cornellift::fault
