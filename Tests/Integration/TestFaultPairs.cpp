#include "Tests/Integration/Deployment.h"

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iterator>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

namespace {

using Json = nlohmann::json;

/// Number from the environment, for long runs; Meta/long-faults.sh sets them.
unsigned setting(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : Default;
}

/// One run: submits jobs to every entry VM, injects two faults chosen by the seed, repairs them,
/// and checks all guarantees.
class FaultPair {
public:
  explicit FaultPair(unsigned Seed)
      : Random_(Seed), Running_("fault-pair-" + std::to_string(Seed)),
        BaseVersion_(Running_.versionOf("ikeja-1")) {}

  void run() {
    submitJobs();
    for (unsigned Number = 0; Number < 2; ++Number) {
      // Faults are triggered by the number of started tasks, not by time.
      auto Wanted = 4 + randomBelow(12) + std::size_t{16} * Number;
      waitUntil([&] { return Running_.starts().size() >= Wanted; }, 5);
      inject(randomBelow(std::size(Faults)));
    }
    std::vector<HttpReply> First;
    for (auto &Answer : Answers_)
      First.push_back(Answer.get());
    repair();
    for (std::size_t Number = 0; Number < Jobs_.size(); ++Number) {
      if (First[Number].Status != 0)
        checkAnswer(Running_, Jobs_[Number], First[Number]);
      checkAnswer(Running_, Jobs_[Number], Running_.submit(randomVm(), Jobs_[Number]));
    }
    checkConfiguration();
    Running_.checkGuarantees();
  }

private:
  using Fault = void (FaultPair::*)();

  std::size_t randomBelow(std::size_t Count) { return Random_() % Count; }
  const std::string &randomVm() {
    return Running_.entryVms()[randomBelow(Running_.entryVms().size())];
  }
  std::string randomDataCentre() { return randomBelow(2) == 0 ? "ikeja" : "yaba"; }

  void submitJobs() {
    for (const auto &Vm : Running_.entryVms())
      for (unsigned Count = 0; Count < 2; ++Count) {
        Jobs_.push_back(Deployment::job(Running_.newIdentifier(Vm), 12, 150));
        Answers_.push_back(std::async(std::launch::async, [this, Vm, Job = Jobs_.back()] {
          return Running_.submit(Vm, Job, 15);
        }));
      }
  }

  void inject(std::size_t Number) {
    BOOST_TEST_MESSAGE("fault " << Names[Number]);
    (this->*Faults[Number])();
  }

  void killEntry() {
    auto Vm = randomVm();
    Killed_.push_back(Vm);
    Running_.entry(Vm).kill();
  }
  void pauseEntry() {
    auto Vm = randomVm();
    if (std::find(Killed_.begin(), Killed_.end(), Vm) != Killed_.end())
      return;
    Paused_.push_back(Vm);
    Running_.entry(Vm).pause();
  }
  void stopEntry() {
    auto Vm = randomVm();
    Killed_.push_back(Vm);
    Running_.entry(Vm).terminate();
  }
  void loseStore() { Running_.platformFault({{"down", true}}); }
  void slowStore() { Running_.platformFault({{"slow_ms", 700}}); }
  void silenceEndpoints() {
    Running_.controlLink("endpoint-" + randomDataCentre() + "-*", "open", {{"action", "silence"}});
  }
  void cutEndpoints() {
    Running_.controlLink("endpoint-" + randomDataCentre() + "-*", "open", {{"action", "cut"}});
  }
  void separateDataCentres() { Running_.separate("ikeja", "yaba"); }
  void separatePlatform() { Running_.separateFromPlatform(randomDataCentre()); }
  void crossAnswers() {
    callHttp(Running_.endpointPort(randomDataCentre(), 1), "POST", "/control/",
             Json{{"crossed_answers", true}}.dump(), "");
  }
  void patch() {
    Running_.patch(randomVm(), BaseVersion_, "pair-" + std::to_string(Random_()),
                   {{"teams", {{"counter", {{"quota_share", 1 + randomBelow(50)}}}}}});
  }

  void repair() {
    Running_.reconnect();
    Running_.platformFault({{"down", false}, {"slow_ms", 0}});
    for (const auto &Vm : Paused_)
      Running_.entry(Vm).resume();
    for (const auto &Vm : Killed_) {
      Running_.entry(Vm).waitForExit(40);
      Running_.startEntry(Vm);
    }
    for (const auto &Vm : Running_.entryVms())
      Running_.waitReady(Vm);
  }

  void checkConfiguration() {
    BOOST_CHECK(waitUntil([&] {
      auto Version = Running_.versionOf(Running_.entryVms()[0]);
      for (const auto &Vm : Running_.entryVms())
        if (Running_.versionOf(Vm) != Version)
          return false;
      return Version >= BaseVersion_;
    }));
  }

  static constexpr const char *Names[] = {
      "killEntry",        "pauseEntry",       "stopEntry",    "loseStore",
      "slowStore",        "silenceEndpoints", "cutEndpoints", "separateDataCentres",
      "separatePlatform", "crossAnswers",     "patch"};
  static constexpr Fault Faults[] = {&FaultPair::killEntry,
                                     &FaultPair::pauseEntry,
                                     &FaultPair::stopEntry,
                                     &FaultPair::loseStore,
                                     &FaultPair::slowStore,
                                     &FaultPair::silenceEndpoints,
                                     &FaultPair::cutEndpoints,
                                     &FaultPair::separateDataCentres,
                                     &FaultPair::separatePlatform,
                                     &FaultPair::crossAnswers,
                                     &FaultPair::patch};

  std::mt19937 Random_;
  Deployment Running_;
  std::uint64_t BaseVersion_;
  std::vector<Json> Jobs_;
  std::vector<std::future<HttpReply>> Answers_;
  std::vector<std::string> Killed_;
  std::vector<std::string> Paused_;
};

} // namespace

// Guards against guarantees that hold under one fault but not under two at the same time.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderTwoFaults) {
  auto First = setting("CORNELLIFT_FIRST_SEED", 1);
  auto Count = setting("CORNELLIFT_SEEDS", 2);
  for (unsigned Seed = First; Seed < First + Count; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST_MESSAGE("seed " << Seed);
      FaultPair(Seed).run();
    }
}
