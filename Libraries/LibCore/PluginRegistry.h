#pragma once

#include "Libraries/LibCore/Reason.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornellift::core {

/// Factories for the implementations of an abstract interface, by name. Implementations register
/// themselves with a static PluginRegistration and are selected by name in the configuration.
template <typename Interface, typename... Arguments> class PluginRegistry {
public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  static PluginRegistry &instance() {
    static PluginRegistry Registry;
    return Registry;
  }

  void add(std::string Name, Factory Make) { Factories_.emplace(std::move(Name), std::move(Make)); }

  /// Returns an empty optional with NotFound when no implementation has that name.
  std::optional<std::unique_ptr<Interface>> create(std::string_view Name, Arguments... Args) const {
    auto Found = Factories_.find(Name);
    if (Found == Factories_.end())
      return fail(ErrorKind::NotFound, "no implementation is called \"" + std::string(Name) +
                                           "\"; use one of: " + joinedNames());
    return Found->second(std::forward<Arguments>(Args)...);
  }

  std::vector<std::string> names() const {
    std::vector<std::string> Result;
    for (const auto &[Name, Make] : Factories_)
      Result.push_back(Name);
    return Result;
  }

private:
  std::string joinedNames() const {
    std::string Joined;
    for (const auto &[Name, Make] : Factories_)
      Joined += (Joined.empty() ? "" : ", ") + Name;
    return Joined;
  }

  std::map<std::string, Factory, std::less<>> Factories_;
};

/// Registers Implementation under a name when the program starts. Define one at namespace scope in
/// the implementation's source file; libraries with plug-ins are CMake OBJECT libraries, because a
/// static library drops files that nothing refers to.
template <typename Interface, typename Implementation, typename... Arguments>
class PluginRegistration {
public:
  explicit PluginRegistration(std::string Name) {
    PluginRegistry<Interface, Arguments...>::instance().add(
        std::move(Name), [](Arguments... Args) -> std::unique_ptr<Interface> {
          return std::make_unique<Implementation>(std::forward<Arguments>(Args)...);
        });
  }
};

} // namespace cornellift::core
