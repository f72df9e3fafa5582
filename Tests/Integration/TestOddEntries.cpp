#include "Libraries/LibCore/Time.h"
#include "Tests/Integration/PoolDeployment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <httplib.h>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

constexpr int LongEntries = 60;
constexpr std::size_t LongEntryBytes = 900000; ///< The store takes values of 1 MiB.
constexpr std::size_t NestedLevels = 300000;
/// What the control of an entry VM may take; its smallest VMs have 120 MB in all.
constexpr long MemoryTargetKilobytes = 65536;
/// A draining worker must get no new task after two seconds.
constexpr auto DrainTarget = 2s;

/// Largest resident memory of the process so far, in kilobytes.
long peakMemory(const PoolVm &Vm) {
  std::ifstream Status("/proc/" + std::to_string(Vm.Process->id()) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stol(Line.substr(sizeof("VmHWM:") - 1));
  return 0;
}

/// Answers whatever connects with a reply that states a length beyond any memory.
class AbsurdWorker {
public:
  AbsurdWorker() : Acceptor_(Reactor_, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
    Thread_ = std::thread([this] { Reactor_.run(); });
  }
  ~AbsurdWorker() {
    Reactor_.stop();
    Thread_.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }
  bool wasCalled() const { return WasCalled_; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error, Socket Accepted) {
      if (Error)
        return;
      auto Client = std::make_shared<Socket>(std::move(Accepted));
      Client->async_wait(Socket::wait_read, [this, Client](boost::system::error_code) {
        WasCalled_ = true;
        boost::system::error_code Ignored; // The caller may have closed the connection.
        boost::asio::write(*Client, boost::asio::buffer(Reply), Ignored);
      });
      accept();
    });
  }

  static constexpr std::string_view Reply =
      "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n{";
  boost::asio::io_context Reactor_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::atomic<bool> WasCalled_ = false;
  std::thread Thread_;
};

void put(const PoolDeployment &Deployment, const std::string &Id, const std::string &Value) {
  Deployment.control("POST", "/store/put?key=servers/" + Id, Value);
}

std::string nested(std::size_t Levels) {
  return R"({"address":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
}

/// An entry like that of a worker, in which one field has the given value.
std::string entryWith(const std::string &Field, const std::string &Value) {
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"service", R"("print")"},
      {"address", R"("127.0.0.1:9")"},
      {"zone", R"("ikeja")"},
      {"version", R"("1")"},
      {"slots", "8"},
      {"state", R"("ready")"},
      {"coldLeftMs", "0"},
      {"seqNo", "1"},
      {"born", "1"},
      {"capacity", R"({"cpu":4000,"memMb":4096})"},
      {"labels", R"(["r-1"])"},
  };
  std::string Text;
  for (const auto &[Name, Usual] : Fields)
    Text += (Text.empty() ? "{\"" : ",\"") + Name + "\":" + (Name == Field ? Value : Usual);
  return Text + "}";
}

/// Posts a short job with one more field in its step; returns the status, or 0 without an answer.
int statusOfJobWith(const PoolVm &Vm, const std::string &Field) {
  auto Body = jobBody(1, 50, "");
  Body.insert(Body.find("\"count\""), Field + ",");
  httplib::Client Client("127.0.0.1", Vm.CallerPort);
  auto Reply =
      Client.Post(PoolPrefix + newJobKey(), {{"Host", PoolHost}}, Body, "application/json");
  return Reply ? Reply->status : 0;
}

void putOddEntries(const PoolDeployment &Deployment) {
  auto Padded = nested(NestedLevels);
  Padded.insert(Padded.size() - 1, LongEntryBytes - Padded.size(), ' ');
  for (int Each = 0; Each < LongEntries; ++Each)
    put(Deployment, "long-" + std::to_string(Each), Padded);
  put(Deployment, "nested", nested(5000));
  put(Deployment, "number", entryWith("slots", "1e999"));
  put(Deployment, "huge", entryWith("slots", std::string(300, '9')));
  put(Deployment, "negative", entryWith("capacity", R"({"cpu":-4000,"memMb":-1})"));
  put(Deployment, "port", entryWith("address", R"("127.0.0.1:65537")"));
  put(Deployment, "zero", entryWith("address", R"("127.0.0.1:0")"));
  put(Deployment, "state", entryWith("state", R"("resting")"));
  put(Deployment, "type", entryWith("zone", "[7]"));
  put(Deployment, "bytes", std::string("\xff\x00\xfe{", 4));
  put(Deployment, "", entryWith("slots", "8"));
}

} // namespace

// Guards against a process that ends, or no longer follows the workers' entries, because another
// writer left entries among them that are very long, deeply nested or out of range.
BOOST_AUTO_TEST_CASE(OddEntriesAmongTheWorkersHarmNothing) {
  PoolDeployment Deployment("OddEntries", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  putOddEntries(Deployment);
  int Served = 0;
  constexpr int Jobs = 40;
  for (int Job = 0; Job < Jobs; ++Job) {
    auto &Vm = Deployment.vms()[static_cast<std::size_t>(Job) % Deployment.vms().size()];
    Served += postJob(Vm.CallerPort, newJobKey(), 2, 50).State == "completed" ? 1 : 0;
    std::this_thread::sleep_for(100ms); // Together longer than the interval of full reads.
  }
  BOOST_TEST(Served == Jobs);
  for (auto &Vm : Deployment.vms()) {
    BOOST_TEST(Vm.Process->isRunning());
    BOOST_TEST(peakMemory(Vm) > 0);
    BOOST_TEST(peakMemory(Vm) < MemoryTargetKilobytes);
  }
  // The entries of the others are still followed.
  std::string Drained = "w-1";
  Deployment.control("POST", "/worker?id=" + Drained + "&drain=1");
  std::this_thread::sleep_for(DrainTarget);
  auto DrainedAt = cornellift::core::MonotonicClock::now().time_since_epoch().count();
  for (int Job = 0; Job < Jobs; ++Job)
    postJob(Deployment.vms()[0].CallerPort, newJobKey(), 4, 20);
  auto Runs = Deployment.runs();
  BOOST_TEST(std::none_of(Runs.begin(), Runs.end(), [&](const ObservedRun &Run) {
    return Run.Worker == Drained && Run.FromMicroseconds > DrainedAt;
  }));
  BOOST_TEST(std::any_of(Runs.begin(), Runs.end(), [&](const ObservedRun &Run) {
    return Run.Worker != Drained && Run.FromMicroseconds > DrainedAt;
  }));
}

// Guards against processes that go over their memory because another writer left hundreds of
// entries with thousands of labels, or thousands of short entries of a service that no
// configuration has.
BOOST_AUTO_TEST_CASE(ManyOddEntriesCostBoundedMemory) {
  PoolDeployment Deployment("ManyOddEntries", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  std::string Labels = R"([""])";
  Labels.pop_back();
  for (int Each = 1; Each < 5300; ++Each)
    Labels += ",\"\"";
  for (int Each = 0; Each < 450; ++Each)
    put(Deployment, "labels-" + std::to_string(Each), entryWith("labels", Labels + "]"));
  for (int Each = 0; Each < 3000; ++Each)
    put(Deployment, "service-" + std::to_string(Each), entryWith("service", R"("none")"));
  std::this_thread::sleep_for(5s); // Each process reads all entries at least once.
  for (auto &Vm : Deployment.vms()) {
    BOOST_TEST(postJob(Vm.CallerPort, newJobKey(), 2, 50).State == "completed");
    BOOST_TEST(peakMemory(Vm) < MemoryTargetKilobytes, Vm.Name << ": " << peakMemory(Vm) << " KB");
    BOOST_TEST(PoolDeployment::metric(Vm, "cornellift_worker_entries_left_out").value_or(0) ==
               3450);
  }
}

// Guards against links between entry processes that one odd entry blocks for good: tasks delegated
// over them didn't run, and couldn't be stopped.
BOOST_AUTO_TEST_CASE(OddTextsBlockNoLink) {
  PoolDeployment Deployment("OddTexts", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  put(Deployment, "not-utf8", entryWith("service", "\"pr\xff\xfent\""));
  put(Deployment, "surrogate", entryWith("labels", R"(["\udc00"])"));
  std::this_thread::sleep_for(1s); // The directories are read and sent meanwhile.
  constexpr int JobTasks = 60;     // More than fit on the workers of one data centre.
  for (auto &Vm : Deployment.vms()) {
    BOOST_TEST(statusOfJobWith(Vm, R"("affinity":"\udc00")") == 400);
    BOOST_TEST(postJob(Vm.CallerPort, newJobKey(), JobTasks, 300).State == "completed");
  }
  for (auto &Vm : Deployment.vms()) {
    BOOST_TEST(PoolDeployment::metric(Vm, "cornellift_unreadable_frames_total").value_or(-1) == 0);
    BOOST_TEST(PoolDeployment::metric(Vm, "cornellift_peers").value_or(-1) == 3);
  }
  double Delegated = 0;
  for (auto &Vm : Deployment.vms())
    Delegated += PoolDeployment::metric(Vm, "cornellift_tasks_delegated_total").value_or(0);
  BOOST_TEST(Delegated > 0);
}

// Guards against a process that ends because something at a worker's address answers with a reply
// that states an absurd length.
BOOST_AUTO_TEST_CASE(AnAbsurdReplyEndsNoProcess) {
  AbsurdWorker Worker;
  PoolDeployment Deployment("OddReplies", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  put(Deployment, "absurd", entryWith("address", "\"" + Worker.address() + "\""));
  std::this_thread::sleep_for(2s);
  BOOST_TEST(Worker.wasCalled());
  for (auto &Vm : Deployment.vms()) {
    BOOST_TEST(Vm.Process->isRunning());
    BOOST_TEST(postJob(Vm.CallerPort, newJobKey(), 2, 50).State == "completed");
  }
}
