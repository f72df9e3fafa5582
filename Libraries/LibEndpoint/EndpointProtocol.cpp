#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibCore/Reason.h"

#include <charconv>

namespace cornellift::endpoint {

std::optional<std::unique_ptr<EndpointProtocol>> connectEndpoint(std::string_view Protocol,
                                                                 std::string_view Address) {
  auto Colon = Address.rfind(':');
  int Port = 0;
  const char *End = Address.data() + Address.size();
  if (Colon == std::string_view::npos || Colon == 0 ||
      std::from_chars(Address.data() + Colon + 1, End, Port).ptr != End || Port < 1 || Port > 65535)
    return core::fail(core::ErrorKind::Malformed,
                      "endpoint address \"" + std::string(Address) +
                          "\" is not an address and port; give one such as 10.0.0.7:9000");
  using Registry = core::PluginRegistry<EndpointProtocol, std::string, int>;
  return Registry::instance().create(Protocol, std::string(Address.substr(0, Colon)), Port);
}

} // namespace cornellift::endpoint
