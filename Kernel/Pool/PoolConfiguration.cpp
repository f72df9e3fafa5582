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

} // namespace cornellift::kernel
