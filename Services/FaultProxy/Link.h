#pragma once

#include "Services/FaultProxy/Rule.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json_fwd.hpp>

namespace cornellift::fault {

class ProxySession;

/// What happens to new connections of a link.
enum class Admission {
  Pass,   ///< Connected to the target.
  Refuse, ///< Closed at once.
  Hang    ///< Accepted and never answered, as if the network dropped all packets.
};

/// Connections, payload bytes and received blocks of a link since the start.
struct LinkCounters {
  std::uint64_t Connections = 0;
  std::uint64_t BytesUp = 0;
  std::uint64_t BytesDown = 0;
  std::uint64_t BlocksUp = 0;
  std::uint64_t BlocksDown = 0;
};

/// One listening port and its target, with the faults that apply to it. Must be used from the I/O
/// thread only.
class Link : public std::enable_shared_from_this<Link> {
public:
  using Tcp = boost::asio::ip::tcp;

  Link(boost::asio::io_context &Context, std::string Name, Tcp::endpoint Target);

  /// Binds and starts to accept. Returns false with Unavailable when the address is in use.
  bool listen(const Tcp::endpoint &Address);

  const std::string &name() const { return Name_; }
  const Tcp::endpoint &target() const { return Target_; }
  std::uint16_t port() const;
  std::uint32_t delayMilliseconds() const { return DelayMilliseconds_; }

  void setAdmission(Admission NewAdmission) { Admission_ = NewAdmission; }
  void setDelay(std::uint32_t Milliseconds) { DelayMilliseconds_ = Milliseconds; }
  void addRule(Rule NewRule) { Rules_.push_back(std::move(NewRule)); }

  /// Applies the action to every open connection; later connections are not affected.
  void applyToOpen(FaultAction Action);

  /// Removes rules, delay and admission faults. Silenced connections stay silenced.
  void heal();

  /// Matches the block against the rules and returns the first one that fires, if any.
  std::optional<Rule> inspect(Direction BlockDirection, std::string_view Block);

  void remove(const std::shared_ptr<ProxySession> &Session) { Sessions_.erase(Session); }

  nlohmann::json describe() const;

private:
  void accept();
  void admit(Tcp::socket Incoming);

  boost::asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  std::string Name_;
  Tcp::endpoint Target_;
  Admission Admission_ = Admission::Pass;
  std::uint32_t DelayMilliseconds_ = 0;
  std::vector<Rule> Rules_;
  std::set<std::shared_ptr<ProxySession>> Sessions_;
  std::vector<Tcp::socket> Hanging_;
  LinkCounters Counters_;
};

} // namespace cornellift::fault
