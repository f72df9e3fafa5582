#include "Services/EndpointStandIn/StandInApi.h"

#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::standin {
namespace {

constexpr std::string_view TaskPrefix = "/v1/tasks/";
constexpr std::string_view FenceSuffix = "/fence";
constexpr std::string_view JobPrefix = "/v1/jobs/";
constexpr std::string_view RecordsSuffix = "/tasks";

/// Large enough for a request of the entry daemon with a payload of 64 KB, escaped.
constexpr std::size_t MaximumBodyBytes = 1ULL << 20;

std::string between(const std::string &Path, std::string_view Prefix, std::string_view Suffix) {
  if (Path.size() < Prefix.size() + Suffix.size())
    return {};
  return Path.substr(Prefix.size(), Path.size() - Prefix.size() - Suffix.size());
}

http::ServerLimits serverLimits(std::size_t Connections) {
  http::ServerLimits Limits;
  Limits.Connections = Connections;
  Limits.BodyBytes = MaximumBodyBytes;
  return Limits;
}

} // namespace

StandInApi::StandInApi(EndpointOptions Options, std::size_t Connections, StandInLog &Log)
    : Endpoint_(std::move(Options), Controls_, Log), Server_(serverLimits(Connections)) {
  addRoutes();
}

void StandInApi::stop() {
  Endpoint_.waitUntilIdle();
  Controls_.release();
  Server_.stop();
}

void StandInApi::addRoutes() {
  Server_.route("POST", TaskPrefix, [this](const auto &Request, auto &Response) {
    if (Request.path.ends_with(FenceSuffix))
      answer(Response,
             Endpoint_.fence(between(Request.path, TaskPrefix, FenceSuffix), Request.body));
    else
      answer(Response, Endpoint_.start(between(Request.path, TaskPrefix, ""), Request.body));
  });
  Server_.route("GET", TaskPrefix, [this](const auto &Request, auto &Response) {
    answer(Response, Endpoint_.queryTask(between(Request.path, TaskPrefix, "")));
  });
  Server_.route("GET", JobPrefix, [this](const auto &Request, auto &Response) {
    answer(Response, Endpoint_.jobRecords(between(Request.path, JobPrefix, RecordsSuffix)));
  });
  Server_.route("GET", "/v1/status",
                [this](const auto &, auto &Response) { answer(Response, Endpoint_.status()); });
  Server_.route("POST", "/control/", [this](const auto &Request, auto &Response) {
    bool Applied = Controls_.apply(Request.body);
    Response.status = Applied ? 200 : 400;
    Response.set_content(Applied ? "{}" : nlohmann::json(core::lastReason().Message).dump(),
                         "application/json");
  });
}

void StandInApi::answer(httplib::Response &Response, const Answer &Content) {
  Controls_.waitWhileSilent(Controls_.silencePeriod());
  Response.status = Content.Status;
  Response.set_content(Content.Body.dump(), "application/json");
}

} // namespace cornellift::standin
