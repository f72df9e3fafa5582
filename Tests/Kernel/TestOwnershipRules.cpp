#include "OwnershipSimulation.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <string_view>

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;

namespace {

constexpr std::uint64_t DefaultSeeds = 4000;
constexpr std::size_t StepsPerTrace = 400;

/// Relative frequency of each kind of step, in the order of StepKind.
constexpr int Weights[] = {400, 15, 18, 12, 70, 60, 1, 25, 120, 25, 8,  15, 20,
                           8,   4,  12, 6,  12, 4,  4, 4,  12,  6,  14, 3};
static_assert(std::size(Weights) == static_cast<std::size_t>(StepKind::Count));

using Trace = std::vector<Step>;
using Counts = std::map<std::string, std::uint64_t>;

Trace generateTrace(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::discrete_distribution<int> Kinds(std::begin(Weights), std::end(Weights));
  Trace Result;
  for (std::size_t Number = 0; Number < StepsPerTrace; ++Number) {
    auto Kind = static_cast<StepKind>(Kinds(Random));
    auto Numbers = Random();
    Result.push_back({Kind, static_cast<std::uint32_t>(Numbers >> 32),
                      static_cast<std::uint32_t>(Numbers & 0xFFFF)});
  }
  return Result;
}

/// Returns the violated invariant, or an empty optional.
std::optional<std::string> run(const Trace &Steps, Counts &Seen) {
  OwnershipSimulation Simulation;
  std::optional<std::string> Violated;
  try {
    for (const auto &Next : Steps)
      Simulation.apply(Next);
    Simulation.settle();
  } catch (const InvariantViolation &Found) {
    Violated = Found.what();
  }
  for (const auto &[Name, Count] : Simulation.Seen)
    Seen[Name] += Count;
  return Violated;
}

/// Removes steps in blocks of decreasing size as long as some invariant is still violated.
Trace shrink(Trace Steps) {
  Counts Ignored;
  for (auto Block = Steps.size() / 2; Block > 0; Block /= 2)
    for (std::size_t From = 0; From < Steps.size();) {
      auto Shorter = Steps;
      auto First = Shorter.begin() + static_cast<std::ptrdiff_t>(From);
      auto Length = std::min(Block, Steps.size() - From);
      Shorter.erase(First, First + static_cast<std::ptrdiff_t>(Length));
      if (run(Shorter, Ignored))
        Steps = std::move(Shorter);
      else
        From += Block;
    }
  return Steps;
}

void report(std::uint64_t Seed, const Trace &Steps) {
  Counts Ignored;
  auto Shrunk = shrink(Steps);
  std::cout << "seed " << Seed << ": " << *run(Shrunk, Ignored) << " after " << Shrunk.size()
            << " steps:\n";
  for (const auto &Taken : Shrunk)
    std::cout << "  " << toString(Taken) << '\n';
}

/// Reads `--name number` after the `--` of the command line.
std::uint64_t argument(std::string_view Name, std::uint64_t Default) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  for (int Index = 1; Index + 1 < Suite.argc; ++Index)
    if (Suite.argv[Index] == Name)
      return std::strtoull(Suite.argv[Index + 1], nullptr, 10);
  return Default;
}

} // namespace

// Checks the design's invariants of job ownership (P1 to P5) for random orders of events, including
// lost, repeated and late messages, crashes, pauses and transfers.
// A longer run: TestOwnershipRules -- --seeds 100000 --first 1
BOOST_AUTO_TEST_CASE(RandomEventOrdersKeepInvariants) {
  auto First = argument("--first", 1);
  auto Seeds = argument("--seeds", DefaultSeeds);
  Counts Seen;
  std::uint64_t Failures = 0;
  for (auto Seed = First; Seed < First + Seeds && Failures < 3; ++Seed) {
    auto Steps = generateTrace(Seed);
    auto Violated = run(Steps, Seen);
    BOOST_CHECK_MESSAGE(!Violated, "seed " << Seed << ": " << Violated.value_or(""));
    if (!Violated)
      continue;
    ++Failures;
    report(Seed, Steps);
  }
  std::cout << "seeds " << First << " to " << First + Seeds - 1 << ":";
  for (const auto &[Name, Count] : Seen)
    std::cout << ' ' << Name << '=' << Count;
  std::cout << '\n';
  // A run that never reaches an outcome does not test it.
  for (const char *Needed :
       {"Complete", "NotRun overloaded", "NotRun conflict", "NotRun timeout", "Recovered",
        "MayHaveRun unavailable", "MayHaveRun conflict", "WrongIssuer", "TransferAccepted"})
    BOOST_TEST((Seeds < DefaultSeeds || Seen[Needed] > 0), Needed);
}
