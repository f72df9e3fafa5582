// Many clients at a time that send as much, or as slowly, as they like. Each case is one kind of
// client; where the path matters, it is played at a path of a route, at one without a route and at
// the readiness address. Each guards against a process that ends, exceeds its memory or
// descriptors, is not ready or serves no ordinary request while these clients are connected or
// afterwards, and its comment says by what. Nothing that is checked depends on the machine's speed.
#include "Tests/Integration/ClientCrowd.h"
#include "Tests/Integration/Eventually.h"
#include "Tests/Integration/PoolDeployment.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr double CallerMemoryMegabytes = 40; ///< As the process's settings state it.
/// Bound on the resident memory of the whole process.
constexpr double PeakMegabytes = 60;
constexpr std::size_t CallerConnections = 1024;
constexpr std::size_t MonitoringConnections = 96; ///< At the readiness and at the metrics port.
/// Descriptors of the process for workers, peers, the store and files.
constexpr std::size_t OwnDescriptors = 84;
constexpr std::size_t DescriptorBound =
    CallerConnections + 2 * MonitoringConnections + OwnDescriptors;

constexpr std::size_t BodyBytes = 262000; ///< Of the 262,144 that the configuration allows.
constexpr std::size_t MissingBytes = 10;  ///< At the end of an unfinished body.
constexpr int BodyCrowd = 400;
constexpr int SmallChunkCrowd = 300;
constexpr int SilentCrowd = 1200;
constexpr int OversizedCrowd = 300;
constexpr int AheadCrowd = 300;
constexpr int RequestsAhead = 2000;
constexpr int JobCrowd = 100;
constexpr auto ReadingTime = 2s;
/// So long that only the need for connections ends those of a crowd that stays.
constexpr int StayingTimeoutMilliseconds = 60000;

enum class Path { OfRoute, WithoutRoute, Readiness };

std::ostream &operator<<(std::ostream &Out, Path At) {
  return Out << (At == Path::OfRoute        ? "a route"
                 : At == Path::WithoutRoute ? "no route"
                                            : "readiness");
}

const auto AllPaths = data::make({Path::OfRoute, Path::WithoutRoute, Path::Readiness});

std::string targetOf(Path At) {
  if (At == Path::Readiness)
    return "/v1/readyz";
  return (At == Path::OfRoute ? PoolPrefix : "/unknown/") + newJobKey();
}

std::string headOf(Path At, const std::string &Fields) {
  return "POST " + targetOf(At) + " HTTP/1.1\r\nHost: " + PoolHost +
         "\r\nDeadline-Ms: 4000\r\nContent-Type: application/json\r\n" + Fields + "\r\n";
}

std::string statedLength(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

std::string repeated(const std::string &Part, std::size_t Count) {
  std::string Text;
  Text.reserve(Part.size() * Count);
  for (std::size_t Each = 0; Each < Count; ++Each)
    Text += Part;
  return Text;
}

std::vector<std::string> textsOf(int Count, const std::function<std::string()> &Next) {
  std::vector<std::string> Texts(static_cast<std::size_t>(Count));
  std::generate(Texts.begin(), Texts.end(), Next);
  return Texts;
}

/// A complete request to hand in a job with that body.
std::string jobRequest(const std::string &Body) {
  return headOf(Path::OfRoute, statedLength(Body.size())) + Body;
}

std::string jobWith(const std::string &Members, const std::string &Steps) {
  return R"({"spec":"run_ms=500 cores=8","bestEffort":true,)" + Members + R"("phases":[)" + Steps +
         "]}";
}

/// One entry VM whose limits a small crowd uses up.
struct LimitedEntryVm {
  explicit LimitedEntryVm(const std::string &Name, int TimeoutMilliseconds = 3000)
      : Deployment(Name, {{"ikeja"}, 1, 2, "1", 6, TimeoutMilliseconds, 5 * TimeoutMilliseconds}) {
    auto &Vm = Deployment.vms().front();
    Vm.Process->kill();
    std::ofstream(Vm.SettingsFile) << "caller-memory-megabytes=" << CallerMemoryMegabytes
                                   << "\ncaller-connections=" << CallerConnections << "\n";
    Deployment.startVm(Vm);
    BOOST_REQUIRE(Deployment.waitUntilReady());
  }

  PoolVm &vm() { return Deployment.vms().front(); }
  std::uint16_t port(Path At) {
    return At == Path::Readiness ? vm().ReadinessPort : vm().CallerPort;
  }

  /// Checks the process while a crowd is still connected, or after it.
  void check(const std::string &When) {
    BOOST_REQUIRE_MESSAGE(vm().Process->isRunning(), "the process has ended " << When);
    BOOST_TEST(peakMegabytes(vm().Process->id()) < PeakMegabytes, When);
    BOOST_TEST(openDescriptors(vm().Process->id()) < DescriptorBound, When);
    BOOST_TEST(eventually([&] { return PoolDeployment::isReady(vm()); }, 10s),
               "not ready " << When);
    auto IsServed = [&] { return postJob(vm().CallerPort, newJobKey(), 1, 20).Status == 200; };
    BOOST_TEST(eventually(IsServed, 20s), "no job is served " << When);
  }

  /// Lets a crowd send its texts, at most PieceBytes at a time, and checks the process.
  void play(std::uint16_t Port, std::vector<std::string> Texts, std::size_t PieceBytes = 65536) {
    {
      ClientCrowd Crowd(Port, std::move(Texts));
      Crowd.send(PieceBytes);
      // What the sockets have taken has not been read by the process yet.
      std::this_thread::sleep_for(ReadingTime);
      check("with the crowd");
    }
    check("after the crowd");
  }

  /// The same with a crowd that opens each connection again that was closed.
  void playStaying(std::uint16_t Port, std::vector<std::string> Texts) {
    {
      ClientCrowd Crowd(Port, std::move(Texts));
      Crowd.send(1);
      Crowd.stay();
      std::this_thread::sleep_for(ReadingTime);
      check("with the crowd");
    }
    check("after the crowd");
  }

  PoolDeployment Deployment;
};

} // namespace

// Guards against memory that is reserved for bodies that never arrive whole.
BOOST_DATA_TEST_CASE(BodiesThatStopShortOfTheirEnd, AllPaths, At) {
  LimitedEntryVm World("CrowdBodies");
  World.play(World.port(At), textsOf(BodyCrowd, [&] {
               return headOf(At, statedLength(BodyBytes)) +
                      std::string(BodyBytes - MissingBytes, 'x');
             }));
}

// The same in small pieces, so that all connections hold a part of their body at the same time.
BOOST_DATA_TEST_CASE(BodiesInSmallPieces, AllPaths, At) {
  LimitedEntryVm World("CrowdPieces");
  World.play(World.port(At),
             textsOf(BodyCrowd,
                     [&] {
                       return headOf(At, statedLength(BodyBytes)) +
                              std::string(BodyBytes - MissingBytes, 'x');
                     }),
             4000);
}

// Guards against bodies without a stated length, whose memory grows beyond what has arrived.
BOOST_DATA_TEST_CASE(ChunksThatStopShortOfTheirEnd, AllPaths, At) {
  LimitedEntryVm World("CrowdChunks");
  World.play(World.port(At), textsOf(BodyCrowd, [&] {
               return headOf(At, "Transfer-Encoding: chunked\r\n") + "3fff0\r\n" +
                      std::string(0x3fff0 - MissingBytes, 'x');
             }));
}

// Guards against memory that is held for each chunk, however short.
BOOST_DATA_TEST_CASE(VeryManyShortChunks, AllPaths, At) {
  LimitedEntryVm World("CrowdShortChunks");
  World.play(World.port(At), textsOf(SmallChunkCrowd, [&] {
               return headOf(At, "Transfer-Encoding: chunked\r\n") + repeated("1\r\nx\r\n", 20000);
             }));
}

// Guards against a chunk's head that is kept although it never ends.
BOOST_DATA_TEST_CASE(ChunkHeadsWithoutEnd, AllPaths, At) {
  LimitedEntryVm World("CrowdChunkHeads");
  World.play(World.port(At), textsOf(BodyCrowd, [&] {
               return headOf(At, "Transfer-Encoding: chunked\r\n") + "1;" +
                      std::string(BodyBytes, 'x');
             }));
}

// Guards against bodies that are read although they are far over the limit.
BOOST_DATA_TEST_CASE(BodiesFarOverTheLimit, AllPaths, At) {
  LimitedEntryVm World("CrowdOversized");
  World.play(World.port(At), textsOf(OversizedCrowd, [&] {
               return headOf(At, statedLength(15000000)) + std::string(1000000, 'x');
             }));
}

// Guards against headers of legal size that cost many times their size.
BOOST_DATA_TEST_CASE(HeadersOfVeryManyShortFields, AllPaths, At) {
  LimitedEntryVm World("CrowdFields");
  World.play(World.port(At), textsOf(BodyCrowd, [&] {
               return headOf(At, repeated("a:\r\n", 3900) + statedLength(20)) + "0123456789";
             }));
}

// Guards against requests sent ahead, and answers to them, that are held for clients who read none.
BOOST_DATA_TEST_CASE(RequestsAheadWithoutReading, AllPaths, At) {
  LimitedEntryVm World("CrowdAhead");
  World.play(World.port(At), textsOf(AheadCrowd, [&] {
               return repeated("GET " + targetOf(At) + " HTTP/1.1\r\nHost: " + PoolHost +
                                   "\r\n\r\n",
                               RequestsAhead);
             }));
}

// The same for the longest answers that the process gives.
BOOST_AUTO_TEST_CASE(MetricsThatNobodyReads) {
  LimitedEntryVm World("CrowdMetrics");
  World.play(World.vm().MetricsPort, textsOf(AheadCrowd, [] {
               return repeated("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", RequestsAhead);
             }));
}

// Guards against connections that shut all other clients out while they send nothing.
BOOST_DATA_TEST_CASE(SilentConnections, data::make({Path::OfRoute, Path::Readiness}), At) {
  LimitedEntryVm World("CrowdSilent", StayingTimeoutMilliseconds);
  World.playStaying(World.port(At), std::vector<std::string>(SilentCrowd));
}

// The same when they stop in the middle of their header.
BOOST_DATA_TEST_CASE(HeadersThatStopHalfWay, AllPaths, At) {
  LimitedEntryVm World("CrowdHeaders", StayingTimeoutMilliseconds);
  World.playStaying(World.port(At), textsOf(SilentCrowd, [&] {
                      return "POST " + targetOf(At) + " HTTP/1.1\r\nHost: slips";
                    }));
}

// The same when each sends a byte at a time, and never as much as a request.
BOOST_DATA_TEST_CASE(HeadersByteByByte, AllPaths, At) {
  LimitedEntryVm World("CrowdSlow", StayingTimeoutMilliseconds);
  World.playStaying(World.port(At),
                    textsOf(SilentCrowd, [&] { return headOf(At, "").substr(0, 60); }));
}

// Guards against jobs of legal size whose fields cost many times their size.
BOOST_AUTO_TEST_CASE(JobsOfVeryManyShortFields) {
  LimitedEntryVm World("CrowdFlatFields");
  World.play(World.vm().CallerPort, textsOf(BodyCrowd, [] {
               return jobRequest(jobWith(repeated(R"("":0,)", 52000), R"({"cpu":8000})"));
             }));
}

// The same with fields that are nested very deeply.
BOOST_AUTO_TEST_CASE(JobsOfVeryDeeplyNestedFields) {
  LimitedEntryVm World("CrowdNestedFields");
  World.play(World.vm().CallerPort, textsOf(BodyCrowd, [] {
               return jobRequest(
                   jobWith(R"("a":)" + std::string(130000, '[') + std::string(130000, ']') + ",",
                           R"({"cpu":8000})"));
             }));
}

// Guards against steps whose memory is taken before their number is checked.
BOOST_AUTO_TEST_CASE(JobsOfTooManySteps) {
  LimitedEntryVm World("CrowdTooManySteps");
  World.play(World.vm().CallerPort, textsOf(JobCrowd, [] {
               return jobRequest(jobWith("", repeated("{},", 87000) + "{}"));
             }));
}

// Guards against legal jobs that take many times the memory of their body while they wait.
BOOST_AUTO_TEST_CASE(JobsOfVeryManySteps) {
  LimitedEntryVm World("CrowdSteps");
  World.play(World.vm().CallerPort, textsOf(JobCrowd, [] {
               return jobRequest(
                   jobWith("", repeated(R"({"cpu":8000},)", 9999) + R"({"cpu":8000})"));
             }));
}

// Guards against a process that hangs because each step is compared with each field.
BOOST_AUTO_TEST_CASE(JobsOfManyStepsAndManyFields) {
  LimitedEntryVm World("CrowdStepsAndFields");
  World.play(World.vm().CallerPort, textsOf(JobCrowd, [] {
               return jobRequest(jobWith(repeated(R"("":0,)", 24000),
                                         repeated(R"({"cpu":8000},)", 9999) + R"({"cpu":8000})"));
             }));
}

// Guards against limits that refuse a single request within the configured limits, at any path.
BOOST_AUTO_TEST_CASE(ARequestInsideTheLimitsIsServed) {
  LimitedEntryVm World("CrowdOfOne");
  auto Post = [&](Path At, const std::string &Body) {
    httplib::Client Client("127.0.0.1", World.port(At));
    Client.set_read_timeout(10s);
    auto Reply = Client.Post(targetOf(At), {{"Host", PoolHost}, {"Deadline-Ms", "9000"}}, Body,
                             "text/plain");
    return Reply ? Reply->status : 0;
  };
  auto Body = jobWith(R"("padding":")" + std::string(BodyBytes, 'x').substr(200) + R"(",)",
                      R"({"cpu":8000})");
  BOOST_TEST(Post(Path::OfRoute, Body) == 200);
  BOOST_TEST(Post(Path::WithoutRoute, Body) == 404);
  BOOST_TEST(Post(Path::Readiness, Body) == 200);
  World.check("after the requests");
}
