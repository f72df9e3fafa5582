#include "Services/FaultProxy/Link.h"

#include "Libraries/LibCore/Reason.h"
#include "Services/FaultProxy/ProxySession.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::fault {

Link::Link(boost::asio::io_context &Context, std::string Name, Tcp::endpoint Target)
    : Context_(Context), Acceptor_(Context), Name_(std::move(Name)), Target_(std::move(Target)) {}

bool Link::listen(const Tcp::endpoint &Address) {
  try {
    Acceptor_.open(Address.protocol());
    Acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    Acceptor_.bind(Address);
    Acceptor_.listen();
  } catch (const boost::system::system_error &Error) {
    return core::failFalse(core::ErrorKind::Unavailable, "link " + Name_ + " cannot listen: " +
                                                             Error.what() + "; give a free port");
  }
  accept();
  return true;
}

std::uint16_t Link::port() const { return Acceptor_.local_endpoint().port(); }

void Link::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](boost::system::error_code Error, Tcp::socket Incoming) {
        if (Error)
          return;
        Self->admit(std::move(Incoming));
        Self->accept();
      });
}

void Link::admit(Tcp::socket Incoming) {
  ++Counters_.Connections;
  if (Admission_ == Admission::Refuse)
    return;
  if (Admission_ == Admission::Hang) {
    Hanging_.push_back(std::move(Incoming));
    return;
  }
  auto Session = std::make_shared<ProxySession>(Context_, shared_from_this(), std::move(Incoming));
  Sessions_.insert(Session);
  Session->start();
}

void Link::applyToOpen(FaultAction Action) {
  auto Open = Sessions_;
  for (const auto &Session : Open)
    Session->apply(Action);
}

void Link::heal() {
  Rules_.clear();
  Admission_ = Admission::Pass;
  DelayMilliseconds_ = 0;
  Hanging_.clear();
}

std::optional<Rule> Link::inspect(Direction BlockDirection, std::string_view Block) {
  auto &Bytes = BlockDirection == Direction::Up ? Counters_.BytesUp : Counters_.BytesDown;
  auto &Blocks = BlockDirection == Direction::Up ? Counters_.BlocksUp : Counters_.BlocksDown;
  Bytes += Block.size();
  ++Blocks;
  for (auto &Candidate : Rules_) {
    if (Candidate.Fired || Candidate.Watched != BlockDirection ||
        Block.find(Candidate.Text) == Block.npos)
      continue;
    if (++Candidate.Seen < Candidate.Occurrence)
      continue;
    Candidate.Fired = true;
    return Candidate;
  }
  return std::nullopt;
}

nlohmann::json Link::describe() const {
  nlohmann::json Rules = nlohmann::json::array();
  for (const auto &Known : Rules_)
    Rules.push_back({{"id", Known.Id}, {"seen", Known.Seen}, {"fired", Known.Fired}});
  return {{"name", Name_},
          {"port", port()},
          {"connections", Counters_.Connections},
          {"open", Sessions_.size()},
          {"bytes_up", Counters_.BytesUp},
          {"bytes_down", Counters_.BytesDown},
          {"blocks_up", Counters_.BlocksUp},
          {"blocks_down", Counters_.BlocksDown},
          {"rules", Rules}};
}

} // namespace cornellift::fault
