#include "Libraries/LibConfiguration/CrossChecks.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string>

#include <arpa/inet.h>

namespace cornellift::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t MaximumNameLength = 63;
constexpr unsigned MaximumPort = 65535;
constexpr unsigned DefaultSlots = 8;
constexpr unsigned DefaultConnections = 64;

bool refuse(const std::string &Path, const std::string &Problem) {
  return core::failFalse(core::ErrorKind::Malformed, Path + ": " + Problem);
}

bool checkName(const std::string &Path, std::string_view Name) {
  if (isName(Name))
    return true;
  return refuse(Path, "\"" + std::string(Name) +
                          "\" is not a name; use 1 to 63 of a-z, 0-9 and \"-\", "
                          "starting with a letter or a digit");
}

bool checkNames(const json &Section, const std::string &Path) {
  for (const auto &[Name, Value] : Section.items())
    if (!checkName(Path, Name))
      return false;
  return true;
}

bool checkServices(const json &Services) {
  if (!checkNames(Services, "services"))
    return false;
  for (const auto &[Name, Service] : Services.items())
    if (!checkNames(Service.at("kinds"), "services/" + Name + "/kinds"))
      return false;
  return true;
}

bool checkPolicy(const json &Document) {
  auto Policy = Document.value("policy", json::object());
  for (const char *Field : {"placement", "ordering", "admission"})
    if (Policy.contains(Field) &&
        !checkName(std::string("policy/") + Field, Policy.at(Field).get<std::string>()))
      return false;
  return true;
}

bool checkEndpoint(const std::string &Path, const json &Endpoint, const json &Services) {
  if (!checkName(Path + "/data_centre", Endpoint.at("data_centre").get<std::string>()) ||
      !checkName(Path + "/rack", Endpoint.at("rack").get<std::string>()))
    return false;
  if (!isAddress(Endpoint.at("address").get_ref<const std::string &>()))
    return refuse(Path + "/address", "not an IP address and port; write it as 10.0.0.1:7000");
  for (const auto &Service : Endpoint.at("services"))
    if (!Services.contains(Service.get_ref<const std::string &>()))
      return refuse(Path + "/services", "the service " + Service.dump() +
                                            " does not exist; add it to \"services\" first");
  auto Slots = Endpoint.value("slots", DefaultSlots);
  if (Endpoint.value("connections", DefaultConnections) <= Slots)
    return refuse(Path + "/connections",
                  "must exceed \"slots\", as a task's state is queried on a further connection");
  return true;
}

bool checkEndpoints(const json &Endpoints, const json &Services) {
  std::map<std::string, std::string, std::less<>> NameByAddress;
  for (const auto &[Name, Endpoint] : Endpoints.items()) {
    std::string Path = "endpoints/" + Name;
    if (!checkName("endpoints", Name) || !checkEndpoint(Path, Endpoint, Services))
      return false;
    auto [Other, IsNew] = NameByAddress.emplace(Endpoint.at("address").get<std::string>(), Name);
    if (!IsNew)
      return refuse(Path + "/address", "endpoint \"" + Other->second +
                                           "\" has the same address; remove or correct one");
  }
  return true;
}

} // namespace

bool isName(std::string_view Text) {
  auto IsLetterOrDigit = [](char Letter) {
    return (Letter >= 'a' && Letter <= 'z') || (Letter >= '0' && Letter <= '9');
  };
  if (Text.empty() || Text.size() > MaximumNameLength || !IsLetterOrDigit(Text.front()))
    return false;
  return std::all_of(Text.begin(), Text.end(),
                     [&](char Letter) { return IsLetterOrDigit(Letter) || Letter == '-'; });
}

bool isAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0 || Port > MaximumPort)
    return false;
  std::string Host(Text.substr(0, Colon));
  in6_addr Number{};
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(), &Number) == 1;
  return inet_pton(AF_INET, Host.c_str(), &Number) == 1;
}

bool passesCrossChecks(const json &Document) {
  return checkServices(Document.at("services")) && checkNames(Document.at("teams"), "teams") &&
         checkEndpoints(Document.at("endpoints"), Document.at("services")) && checkPolicy(Document);
}

} // namespace cornellift::configuration
