#include "Kernel/Pool/PoolConfiguration.h"

namespace cornellift::kernel {

const Route *PoolConfiguration::find(std::string_view Host, std::string_view Path) const {
  const Route *Best = nullptr;
  for (const auto &Candidate : Routes) {
    if (Candidate.Host != Host || !Path.starts_with(Candidate.Prefix))
      continue;
    if (!Best || Candidate.Prefix.size() > Best->Prefix.size())
      Best = &Candidate;
  }
  return Best;
}

std::set<std::string> PoolConfiguration::services() const {
  std::set<std::string> Names;
  for (const auto &[Name, Connections] : ConnectionsByService)
    Names.insert(Name);
  for (const auto &Each : Routes)
    Names.insert(Each.Policy.Service);
  return Names;
}

} // namespace cornellift::kernel
