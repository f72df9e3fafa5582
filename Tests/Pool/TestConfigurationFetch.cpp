#include "Kernel/Pool/ConfigurationFetch.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

constexpr PeerIndex First{1};
constexpr PeerIndex Second{2};
constexpr PeerIndex Third{3};

/// A process with version 1 whose three peers have version 2.
struct LateProcess {
  LateProcess() {
    Fetch.versionInForce(1, Begin);
    for (auto Peer : {First, Second, Third})
      Fetch.peerReported(Peer, 2, Begin);
  }

  /// Requests that become due in steps of 10 ms, until the given time after Begin.
  std::vector<ConfigurationRequest> requestsUntil(core::Duration After) {
    std::vector<ConfigurationRequest> Requests;
    for (; Now <= Begin + After; Now += 10ms)
      if (auto Request = Fetch.nextRequest(Now))
        Requests.push_back(*Request);
    return Requests;
  }

  core::TimePoint Begin{1h};
  core::TimePoint Now = Begin;
  ConfigurationFetch Fetch{1};
};

} // namespace

// Guards against copies from peers where the store delivers the document itself.
BOOST_AUTO_TEST_CASE(NoPeerIsAskedWhileTheStoreIsInTime) {
  LateProcess Process;
  BOOST_TEST(Process.requestsUntil(200ms).empty());
  Process.Fetch.versionInForce(2, Process.Now);
  BOOST_TEST(Process.requestsUntil(5s).empty());
}

// Guards against copies from peers while the store delivers one version after the other.
BOOST_AUTO_TEST_CASE(NoPeerIsAskedWhileVersionsArrive) {
  LateProcess Process;
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    BOOST_TEST(Process.requestsUntil((Version - 1) * 300ms).empty());
    Process.Fetch.peerReported(First, Version + 1, Process.Now);
    Process.Fetch.versionInForce(Version, Process.Now);
  }
}

// Guards against a document that is copied from all peers at once.
BOOST_AUTO_TEST_CASE(PeersAreAskedOneAtATime) {
  LateProcess Process;
  auto Requests = Process.requestsUntil(800ms);
  BOOST_REQUIRE(Requests.size() == 1U);
  // A peer that does not answer is replaced by another one.
  Requests = Process.requestsUntil(1100ms);
  BOOST_REQUIRE(Requests.size() == 1U);
  Process.Fetch.peerLost(Requests.front().Peer);
  auto Others = Process.requestsUntil(1150ms);
  BOOST_REQUIRE(Others.size() == 1U);
  BOOST_TEST((Others.front().Peer != Requests.front().Peer));
}

// Checks that a document is put together from its parts, and that each part is requested in turn.
BOOST_AUTO_TEST_CASE(PartsArePutTogether) {
  LateProcess Process;
  auto Request = Process.requestsUntil(500ms).at(0);
  auto Peer = Request.Peer;
  BOOST_TEST(!Process.Fetch.partReceived(Peer, {2, 0, 6, "abc"}, Process.Now));
  auto Next = Process.Fetch.nextRequest(Process.Now);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Offset == 3U);
  BOOST_TEST(Next->Version == 2U);
  BOOST_TEST(!Process.Fetch.nextRequest(Process.Now).has_value());
  auto Document = Process.Fetch.partReceived(Peer, {2, 3, 6, "def"}, Process.Now);
  BOOST_REQUIRE(Document.has_value());
  BOOST_TEST(*Document == "abcdef");
}

// Guards against a transfer that goes on although the store has delivered the version meanwhile,
// and holds up the request for a newer one.
BOOST_AUTO_TEST_CASE(AnOvertakenTransferIsDropped) {
  LateProcess Process;
  auto Peer = Process.requestsUntil(500ms).at(0).Peer;
  BOOST_TEST(!Process.Fetch.partReceived(Peer, {2, 0, 6, "abc"}, Process.Now));
  Process.Fetch.peerReported(Third, 3, Process.Now);
  Process.Fetch.versionInForce(2, Process.Now);
  auto Requests = Process.requestsUntil(1s);
  BOOST_REQUIRE(Requests.size() == 1U);
  BOOST_TEST((Requests.front().Peer == Third));
  BOOST_TEST(Requests.front().Offset == 0U);
}

// Guards against a document that cannot be read and is copied without end.
BOOST_AUTO_TEST_CASE(AnUnusableDocumentIsRequestedRarely) {
  LateProcess Process;
  auto Peer = Process.requestsUntil(500ms).at(0).Peer;
  BOOST_TEST(Process.Fetch.partReceived(Peer, {2, 0, 3, "abc"}, Process.Now).has_value());
  BOOST_TEST(Process.requestsUntil(5s).empty());
  BOOST_TEST(Process.requestsUntil(6s).size() == 1U);
}

// Guards against a document made of two versions: a peer that has changed its version in the midst
// of a transfer begins again, and parts out of turn or from another peer are ignored.
BOOST_AUTO_TEST_CASE(VersionsAreNotMixed) {
  LateProcess Process;
  auto Peer = Process.requestsUntil(500ms).at(0).Peer;
  auto Other = Peer == First ? Second : First;
  BOOST_TEST(!Process.Fetch.partReceived(Peer, {2, 0, 6, "abc"}, Process.Now));
  BOOST_TEST(!Process.Fetch.partReceived(Other, {2, 3, 6, "xyz"}, Process.Now));
  BOOST_TEST(!Process.Fetch.partReceived(Peer, {3, 3, 6, "xyz"}, Process.Now));
  BOOST_TEST(!Process.Fetch.partReceived(Peer, {3, 0, 6, "ghi"}, Process.Now));
  auto Document = Process.Fetch.partReceived(Peer, {3, 3, 6, "jkl"}, Process.Now);
  BOOST_REQUIRE(Document.has_value());
  BOOST_TEST(*Document == "ghijkl");
}
