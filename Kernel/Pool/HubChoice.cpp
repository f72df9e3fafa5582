#include "Kernel/Pool/HubChoice.h"

#include "Kernel/Pool/CandidateRank.h"

#include <algorithm>
#include <map>
#include <vector>

namespace cornellift::kernel {

std::set<std::string> chooseHubs(std::span<const HubCandidate> Candidates) {
  std::map<std::string, std::vector<const HubCandidate *>> ByDataCentre;
  for (const auto &Candidate : Candidates)
    ByDataCentre[Candidate.DataCentre].push_back(&Candidate);
  std::set<std::string> Hubs;
  for (auto &[DataCentre, Members] : ByDataCentre) {
    std::sort(Members.begin(), Members.end(), [](const auto *Left, const auto *Right) {
      return rankIn(Left->DataCentre, *Left) < rankIn(Left->DataCentre, *Right);
    });
    std::size_t Reachable = 0;
    for (const auto *Member : Members) {
      if (Reachable == HubsPerDataCentre)
        break;
      Hubs.insert(Member->Vm);
      Reachable += Member->IsFailing ? 0 : 1;
    }
  }
  return Hubs;
}

std::set<std::string> dataCentresOfBetterCandidates(std::span<const HubCandidate> Candidates,
                                                    const HubCandidate &Self) {
  std::set<std::string> Result;
  for (const auto &Candidate : Candidates)
    if (!Candidate.IsFailing && !Candidate.IsLinked &&
        rankIn(Candidate.DataCentre, Candidate) < rankIn(Candidate.DataCentre, Self))
      Result.insert(Candidate.DataCentre);
  return Result;
}

} // namespace cornellift::kernel
