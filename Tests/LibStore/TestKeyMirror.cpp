#include "Libraries/LibReactor/HttpServer.h"
#include "Libraries/LibStore/KeyMirror.h"
#include "Services/PoolDaemon/ActiveConfiguration.h"
#include "Tests/LibReactor/TcpRelay.h"
#include "platform/StoreMessages.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

/// Fake store whose keys are written continuously. A watch returns at most PageEvents events.
class BusyStore {
public:
  explicit BusyStore(store::asio::io_context &Reactor)
      : Server_(reactor::HttpServer::listen(
            Reactor, {store::asio::ip::address_v4::loopback(), 0},
            [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
              bool IsWatch = Exchange->target().find("kv-watch") != std::string_view::npos;
              if (IsWatch && IsSilent_)
                return Held_.push_back(Exchange);
              IsWatch ? sendEvents(*Exchange) : sendItems(*Exchange);
            })) {}

  void write(std::uint64_t Count) { Revision_ += Count; }
  /// While the store is silent, watches that arrive are never answered.
  void setSilent(bool IsSilent) { IsSilent_ = IsSilent; }
  std::size_t heldWatches() const { return Held_.size(); }
  std::uint64_t revision() const { return Revision_; }
  std::uint16_t port() const { return Server_->address().port(); }
  std::shared_ptr<store::StoreClient> connect(store::asio::io_context &Reactor) {
    return connectTo(Reactor, Server_->address());
  }
  /// Connects through an address that leads to this store.
  std::shared_ptr<store::StoreClient> connectTo(store::asio::io_context &Reactor,
                                                const reactor::Tcp::endpoint &Address) const {
    return std::make_shared<store::StoreClient>(Reactor, Address, Format_);
  }

private:
  static constexpr std::uint64_t PageEvents = 500;
  static constexpr std::uint64_t Keys = 350;

  /// JSON form of the item that was written at the revision.
  static std::string item(std::uint64_t Revision) {
    return R"({"key":"servers/w)" + std::to_string(Revision % Keys) +
           R"(","value":"","created":1,"lease":0,"revision":)" + std::to_string(Revision) + "}";
  }

  void sendEvents(reactor::HttpExchange &Exchange) {
    auto Target = std::string(Exchange.target());
    auto Position = Target.find("after=");
    std::uint64_t After = std::stoull(Target.substr(Position + 6));
    std::uint64_t End = std::min(Revision_, After + PageEvents);
    std::string Events;
    for (auto Next = After + 1; Next <= End; ++Next)
      Events += (Events.empty() ? "" : ",") + item(Next);
    Exchange.reply({200, R"({"at":)" + std::to_string(End) + R"(,"events":[)" + Events + "]}", {}});
  }

  void sendItems(reactor::HttpExchange &Exchange) const {
    std::string Items;
    for (auto Next = Revision_ - Keys + 1; Next <= Revision_; ++Next)
      Items += (Items.empty() ? "" : ",") + item(Next);
    Exchange.reply({200,
                    R"({"at":)" + std::to_string(Revision_) + R"(,"items":[)" + Items +
                        R"(],"hasMore":false})",
                    {}});
  }

  platform::StoreMessages Format_;
  std::uint64_t Revision_ = 1000;
  bool IsSilent_ = false;
  std::vector<std::shared_ptr<reactor::HttpExchange>> Held_;
  std::shared_ptr<reactor::HttpServer> Server_;
};

/// Fake store with one large document that is replaced again and again. As on the platform, a watch
/// returns the versions in order, and a reply holds no more than one of them. Each reply takes
/// ReplyTime, as over a slow link.
class DocumentStore {
public:
  static constexpr auto ReplyTime = 150ms;

  explicit DocumentStore(store::asio::io_context &Reactor)
      : Reactor_(Reactor),
        Server_(reactor::HttpServer::listen(
            Reactor, {store::asio::ip::address_v4::loopback(), 0},
            [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) { serve(Exchange); })) {}

  void write() { ++Revision_; }
  std::uint64_t revision() const { return Revision_; }
  /// Number of replies that held the document.
  int documentsSent() const { return DocumentsSent_; }
  std::shared_ptr<store::StoreClient> connect(store::asio::io_context &Reactor) {
    return std::make_shared<store::StoreClient>(Reactor, Server_->address(), Format_);
  }

private:
  static constexpr std::size_t DocumentBytes = 500000;

  std::string item(std::uint64_t Revision) {
    ++DocumentsSent_;
    return R"({"key":"op/config","value":")" + std::string(DocumentBytes, 'A') +
           R"(","created":1,"lease":0,"revision":)" + std::to_string(Revision) + "}";
  }

  void serve(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
    auto Target = std::string(Exchange->target());
    if (Target.find("kv-watch") == std::string::npos)
      return replyLater(Exchange, R"({"at":)" + std::to_string(Revision_) + R"(,"items":[)" +
                                      item(Revision_) + R"(],"hasMore":false})");
    auto Next = std::stoull(Target.substr(Target.find("after=") + 6)) + 1;
    if (Next > Revision_)
      return replyLater(Exchange, R"({"at":)" + std::to_string(Revision_) + R"(,"events":[]})");
    replyLater(Exchange, R"({"at":)" + std::to_string(Next) + R"(,"events":[)" + item(Next) + "]}");
  }

  void replyLater(const std::shared_ptr<reactor::HttpExchange> &Exchange, std::string Body) {
    auto Timer = std::make_shared<store::asio::steady_timer>(Reactor_, ReplyTime);
    Timer->async_wait([Timer, Exchange, Body = std::move(Body)](boost::system::error_code) {
      Exchange->reply({200, Body, {}});
    });
  }

  store::asio::io_context &Reactor_;
  int DocumentsSent_ = 0;
  platform::StoreMessages Format_;
  std::uint64_t Revision_ = 1000;
  std::shared_ptr<reactor::HttpServer> Server_;
};

/// A mirror of a BusyStore that has read all keys.
struct BusyMirror {
  explicit BusyMirror(store::MirrorOptions Options)
      : Mirror(std::make_shared<store::KeyMirror>(Reactor, Store.connect(Reactor), "servers/",
                                                  Options,
                                                  [](const store::KeyMirror::Items &) {})) {
    Mirror->start();
    while (!Mirror->isLoaded())
      Reactor.run_one_for(10ms);
  }
  ~BusyMirror() { Mirror->stop(); }

  store::asio::io_context Reactor;
  BusyStore Store{Reactor};
  std::shared_ptr<store::KeyMirror> Mirror;
};

} // namespace

// Guards against a copy that never catches up when more changes are written between two calls than
// one reply holds. A manager's copy was 12 s old, so that it started tasks on draining workers.
BOOST_AUTO_TEST_CASE(WritesBeyondOneReplyAreCaughtUp) {
  BusyMirror Busy({100ms, 50ms});
  for (int Round = 0; Round < 10; ++Round) {
    Busy.Store.write(1400);
    Busy.Reactor.run_for(100ms);
  }
  Busy.Reactor.run_for(100ms);
  BOOST_TEST(Busy.Mirror->revision() == Busy.Store.revision());
}

// Guards against a process that takes over the workers with an outdated copy: a shorter interval
// must read all keys at once, and refreshedAt() must report the age of the copy.
BOOST_AUTO_TEST_CASE(AShorterIntervalRefreshesTheCopyAtOnce) {
  BusyMirror Busy({100ms, 60s, store::MirrorMode::Poll});
  Busy.Store.write(5000);
  Busy.Reactor.run_for(100ms);
  BOOST_TEST(Busy.Mirror->revision() < Busy.Store.revision());
  auto RequestedAt = core::MonotonicClock::now();
  BOOST_TEST((Busy.Mirror->refreshedAt() < RequestedAt));
  Busy.Mirror->setOptions({100ms, 20ms});
  Busy.Reactor.run_for(100ms);
  BOOST_TEST(Busy.Mirror->revision() == Busy.Store.revision());
  BOOST_TEST((Busy.Mirror->refreshedAt() >= RequestedAt));
}

// Guards against a call through a null pointer, found by the soak test with seed 105. In a process
// that was paused, the mirror's timer had expired, and a shorter interval was set before the
// handler of the timer ran. The handler of the second timer then found no step to run.
BOOST_AUTO_TEST_CASE(AShorterIntervalAfterTimerExpiryIsHarmless) {
  store::asio::io_context Reactor;
  auto Server = reactor::HttpServer::listen(
      Reactor, {store::asio::ip::address_v4::loopback(), 0},
      [](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
        Exchange->reply({200, R"({"at":5,"items":[],"events":[],"hasMore":false})", {}});
      });
  platform::StoreMessages Format;
  auto Client = std::make_shared<store::StoreClient>(Reactor, Server->address(), Format);
  auto Mirror = std::make_shared<store::KeyMirror>(Reactor, Client, "servers/",
                                                   store::MirrorOptions{100ms, 200ms},
                                                   [](const store::KeyMirror::Items &) {});
  Mirror->start();
  while (!Mirror->isLoaded())
    Reactor.run_one_for(10ms);
  reactor::asio::steady_timer Earlier(Reactor, 50ms);
  Earlier.async_wait([&](boost::system::error_code) { Mirror->setOptions({100ms, 10ms}); });
  std::this_thread::sleep_for(300ms); // Both timers expire before either handler runs.
  Reactor.run_for(100ms);
  BOOST_TEST(Mirror->isLoaded());
  BOOST_TEST(Client->counters().Watches >= 1U);
  Mirror->stop();
}

// Guards against a configuration that takes effect seconds after the store has become available
// again: the watches of all processes hung on connections from before the outage, with a timeout of
// 9 s each. A process that has been able to reach the store for 3 s must know the latest version.
BOOST_AUTO_TEST_CASE(AHangingWatchTimesOut) {
  BusyMirror Busy(pool::ConfigurationMirrorOptions);
  Busy.Store.setSilent(true);
  auto Begin = std::chrono::steady_clock::now();
  while (Busy.Store.heldWatches() == 0 && std::chrono::steady_clock::now() - Begin < 1s)
    Busy.Reactor.run_one_for(10ms);
  BOOST_REQUIRE(Busy.Store.heldWatches() == 1U);
  Busy.Store.setSilent(false);
  Busy.Store.write(1);
  Begin = std::chrono::steady_clock::now();
  while (Busy.Mirror->revision() < Busy.Store.revision() &&
         std::chrono::steady_clock::now() - Begin < 3s)
    Busy.Reactor.run_one_for(10ms);
  BOOST_TEST(Busy.Mirror->revision() == Busy.Store.revision());
}

// Guards against a configuration that takes effect seconds after all connections to the store have
// gone silent at once: the watch hung, and the next one hung as long on another such connection. A
// process whose new connections work must know the latest version 3 s later.
BOOST_AUTO_TEST_CASE(ChangesArriveAfterAllConnectionsHaveGoneSilent) {
  constexpr auto InTouchAfter = 3s;
  store::asio::io_context Reactor;
  BusyStore Store(Reactor);
  reactor::TcpRelay Relay(Reactor, Store.port());
  auto Client = Store.connectTo(Reactor, Relay.endpoint());
  auto Mirror = std::make_shared<store::KeyMirror>(Reactor, Client, "servers/",
                                                   pool::ConfigurationMirrorOptions,
                                                   [](const store::KeyMirror::Items &) {});
  auto Until = [&](const std::function<bool()> &Holds, std::chrono::milliseconds Limit) {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Reactor.run_one_for(10ms);
    return Holds();
  };
  Store.setSilent(true);
  Mirror->start();
  BOOST_REQUIRE(Until([&] { return Store.heldWatches() == 1; }, 1s));
  bool IsOtherCallDone = false; // It leaves an idle connection beside that of the watch.
  Client->range("servers/", 100, [&](const auto &) { IsOtherCallDone = true; });
  BOOST_REQUIRE(Until([&] { return IsOtherCallDone; }, 1s));
  Relay.silenceOpenConnections();
  Store.setSilent(false);
  Store.write(1);
  BOOST_TEST(Until([&] { return Mirror->revision() == Store.revision(); }, InTouchAfter));
  Mirror->stop();
}

namespace {

/// A mirror of a DocumentStore that has read the document.
struct DocumentMirror {
  DocumentMirror()
      : Mirror(std::make_shared<store::KeyMirror>(Reactor, Store.connect(Reactor), "op/",
                                                  pool::ConfigurationMirrorOptions,
                                                  [](const store::KeyMirror::Items &) {})) {
    Mirror->start();
    while (!Mirror->isLoaded())
      Reactor.run_one_for(10ms);
  }
  ~DocumentMirror() { Mirror->stop(); }

  std::uint64_t revision() const { return Mirror->items().at("op/config").Revision; }

  store::asio::io_context Reactor;
  DocumentStore Store{Reactor};
  std::shared_ptr<store::KeyMirror> Mirror;
};

} // namespace

// Guards against issue 18: a large configuration that changes faster than one version is received.
// The copy took each version in turn and was further behind with each.
BOOST_AUTO_TEST_CASE(ASeriesOfLargeDocumentsIsNotReadVersionByVersion) {
  DocumentMirror Copy;
  for (int Version = 0; Version < 40; ++Version) {
    Copy.Store.write();
    Copy.Reactor.run_for(50ms);
  }
  // A change has to be in force 2 s after it was accepted.
  auto Deadline = std::chrono::steady_clock::now() + 2s;
  while (Copy.revision() < Copy.Store.revision() && std::chrono::steady_clock::now() < Deadline)
    Copy.Reactor.run_one_for(10ms);
  BOOST_TEST(Copy.revision() == Copy.Store.revision());
}

// Guards against a large document that is received twice for a single change.
BOOST_AUTO_TEST_CASE(ASingleChangeOfALargeDocumentIsReadOnce) {
  DocumentMirror Copy;
  Copy.Reactor.run_for(300ms);
  Copy.Store.write();
  Copy.Reactor.run_for(1s);
  BOOST_TEST(Copy.revision() == Copy.Store.revision());
  BOOST_TEST(Copy.Store.documentsSent() == 2); // At the start, and for the change.
}

namespace {

/// Fake store whose replies to reads arrive in parts, as over a link that is full of other data.
class SlowLinkStore {
public:
  static constexpr std::size_t DocumentBytes = 400000;
  static constexpr auto PartInterval = 200ms;
  static constexpr std::size_t PartBytes = 25000; ///< A reply takes 3.2 s.

  explicit SlowLinkStore(store::asio::io_context &Reactor)
      : Acceptor_(Reactor, {store::asio::ip::address_v4::loopback(), 0}), Timer_(Reactor) {
    accept();
  }

  std::shared_ptr<store::StoreClient> connect(store::asio::io_context &Reactor) {
    return std::make_shared<store::StoreClient>(Reactor, Acceptor_.local_endpoint(), Format_);
  }

private:
  using Socket = store::asio::ip::tcp::socket;

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error, Socket Accepted) {
      if (Error)
        return;
      auto Client = std::make_shared<Socket>(std::move(Accepted));
      auto Body = R"({"at":7,"hasMore":false,"items":[{"key":"op/config","revision":7,"value":")" +
                  std::string(DocumentBytes, 'A') + "\"}]}";
      send(Client,
           "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
      accept();
    });
  }

  void send(const std::shared_ptr<Socket> &Client, std::string Rest) {
    boost::system::error_code Error;
    store::asio::write(*Client, store::asio::buffer(Rest.data(), std::min(PartBytes, Rest.size())),
                       Error);
    if (Error || Rest.size() <= PartBytes)
      return;
    Rest.erase(0, PartBytes);
    Timer_.expires_after(PartInterval);
    Timer_.async_wait([this, Client, Rest = std::move(Rest)](boost::system::error_code Ended) {
      if (!Ended)
        send(Client, Rest);
    });
  }

  platform::StoreMessages Format_;
  store::asio::ip::tcp::acceptor Acceptor_;
  store::asio::steady_timer Timer_;
};

} // namespace

// Guards against issue 18: on a link that is full of callers' data, a document took longer than the
// timeout of a call. It was dropped while it still arrived and read again, without end.
BOOST_AUTO_TEST_CASE(ADocumentThatStillArrivesIsNotReadAgain) {
  store::asio::io_context Reactor;
  SlowLinkStore Store(Reactor);
  auto Mirror = std::make_shared<store::KeyMirror>(Reactor, Store.connect(Reactor), "op/",
                                                   pool::ConfigurationMirrorOptions,
                                                   [](const store::KeyMirror::Items &) {});
  Mirror->start();
  auto Deadline = std::chrono::steady_clock::now() + 5s;
  while (!Mirror->isLoaded() && std::chrono::steady_clock::now() < Deadline)
    Reactor.run_one_for(10ms);
  BOOST_TEST(Mirror->isLoaded());
  Mirror->stop();
}

namespace {

/// Fake store that gives the same reply to each call of a kind.
class ScriptedStore {
public:
  ScriptedStore(store::asio::io_context &Reactor, std::string Page, std::string Events)
      : Page_(std::move(Page)), Events_(std::move(Events)),
        Server_(reactor::HttpServer::listen(
            Reactor, {store::asio::ip::address_v4::loopback(), 0},
            [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
              bool IsWatch = Exchange->target().find("kv-watch") != std::string_view::npos;
              Pages_ += IsWatch ? 0 : 1;
              Exchange->reply({200, IsWatch ? Events_ : Page_, {}});
            })) {}

  std::shared_ptr<store::StoreClient> connect(store::asio::io_context &Reactor) {
    return std::make_shared<store::StoreClient>(Reactor, Server_->address(), Format_);
  }
  /// Number of pages that were requested.
  int pages() const { return Pages_; }

private:
  platform::StoreMessages Format_;
  std::string Page_;
  std::string Events_;
  int Pages_ = 0;
  std::shared_ptr<reactor::HttpServer> Server_;
};

} // namespace

// Guards against a process that ends because a reply of the store has a key that does not begin
// with the prefix that was asked for, as of an item that was mixed up or cut.
BOOST_AUTO_TEST_CASE(KeysOutsideThePrefixAreLeftOut) {
  store::asio::io_context Reactor;
  ScriptedStore Store(
      Reactor,
      R"({"at":7,"hasMore":false,"items":[{"key":"s","value":"","revision":5},)"
      R"({"key":"servers/w1","value":"","revision":6},{"key":"other/w2","value":"","revision":7}]})",
      R"({"at":9,"events":[{"key":"","value":"","revision":8},)"
      R"({"key":"servers/w3","value":"","revision":9}]})");
  std::vector<std::string> Names;
  auto Mirror = std::make_shared<store::KeyMirror>(
      Reactor, Store.connect(Reactor), "servers/", store::MirrorOptions{1s, 10ms},
      [&](const store::KeyMirror::Items &Items) {
        Names.clear();
        for (const auto &[Key, Item] : Items)
          Names.push_back(Key.substr(std::string_view("servers/").size()));
      });
  Mirror->start();
  BOOST_CHECK_NO_THROW(Reactor.run_for(100ms));
  BOOST_TEST(Names == (std::vector<std::string>{"w1", "w3"}), boost::test_tools::per_element());
  Mirror->stop();
}

// Guards against a process that uses up its memory: pages of the store that name no further keys,
// but say that there are more, were gathered without end.
BOOST_AUTO_TEST_CASE(PagesThatDoNotGoOnEndTheReading) {
  store::asio::io_context Reactor;
  ScriptedStore Store(
      Reactor, R"({"at":7,"hasMore":true,"items":[{"key":"servers/w1","value":"","revision":6}]})",
      R"({"at":7,"events":[]})");
  auto Client = Store.connect(Reactor);
  std::optional<store::StoreReply<store::StorePage>> Reply;
  Client->range("servers/", 100,
                [&](const store::StoreReply<store::StorePage> &Read) { Reply = Read; });
  Reactor.run_for(200ms);
  BOOST_REQUIRE(Reply.has_value());
  BOOST_TEST(!Reply->Content.has_value());
  BOOST_TEST((Reply->Failure == store::StoreFailure::Malformed));
  BOOST_TEST(Store.pages() == 2);
}
