#pragma once

#include "Kernel/Membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::kernel::testing {

/// Entry VMs on a virtual clock, connected by a network in which tests can drop messages per
/// direction.
class MembershipNetwork {
public:
  struct Node {
    std::unique_ptr<Membership> Detector;
    bool Up = true;
    core::TimePoint PausedUntil;
    core::TimePoint NextTick;
  };

  static constexpr core::Duration TickInterval = std::chrono::milliseconds(40);

  /// Starts VMs named "a-1", "a-2" and so on in data centre "a"; the first one is a seed.
  void addDataCentre(const std::string &DataCentre, int Count) {
    for (int Number = 1; Number <= Count; ++Number)
      start(DataCentre + "-" + std::to_string(Number), DataCentre);
  }

  Membership &start(const std::string &Name, const std::string &DataCentre) {
    MemberRecord Own{.EntryVm = Name, .Address = Name, .DataCentre = DataCentre};
    Own.Process = {++Seed_};
    Own.StartedAt = static_cast<std::int64_t>(Seed_);
    Own.Standing = MemberStanding::Ready;
    auto &Item = Nodes[Name];
    Item = {std::make_unique<Membership>(Own, MembershipSettings{}, Seed_), true, {}, Now};
    Item.Detector->setSeeds({"a-1", "a-2", DataCentre + "-1"});
    return *Item.Detector;
  }

  Membership &at(const std::string &Name) { return *Nodes.at(Name).Detector; }

  MemberStanding standing(const std::string &Viewer, const std::string &Name) {
    const auto *Record = at(Viewer).table().find(Name);
    return Record ? Record->Standing : MemberStanding::Starting;
  }

  void runFor(core::Duration Span) {
    auto End = Now + Span;
    while (Now < End) {
      for (auto &Entry : Nodes) {
        auto &Item = Entry.second;
        if (!Item.Up || Now < Item.PausedUntil || Now < Item.NextTick)
          continue;
        Item.NextTick = Now + TickInterval;
        act(Entry.first, [&](auto &Out) { Item.Detector->tick(Now, Out); });
      }
      Now += Step;
      while (!Queue_.empty() && Queue_.begin()->first <= Now) {
        auto Next = Queue_.extract(Queue_.begin());
        Next.mapped()();
      }
    }
  }

  /// Runs one call of a node and sends the messages that it emits.
  void act(const std::string &Name, const std::function<void(MembershipActions &)> &Call) {
    MembershipActions Out;
    Call(Out);
    for (auto &Action : Out)
      std::visit([&](auto &Item) { send(Name, Item); }, Action);
  }

  core::TimePoint Now{std::chrono::seconds(100)};
  std::map<std::string, Node> Nodes;
  /// Returns true when a message from the first to the second VM is lost.
  std::function<bool(const std::string &, const std::string &)> Lost = [](auto &, auto &) {
    return false;
  };
  std::uint64_t ProbesSent = 0;
  std::uint64_t AnnouncementsSent = 0;

private:
  static constexpr core::Duration Step = std::chrono::milliseconds(2);

  /// Delivers to a running node; to a paused node after its pause.
  void deliver(const std::string &From, const std::string &To,
               const std::function<void(Node &)> &Handle) {
    if (Lost(From, To))
      return;
    Queue_.emplace(Now + Step, [this, To, Handle] {
      auto Found = Nodes.find(To);
      if (Found == Nodes.end() || !Found->second.Up)
        return;
      if (Now < Found->second.PausedUntil)
        Queue_.emplace(Found->second.PausedUntil,
                       [&Found = Found->second, Handle] { Handle(Found); });
      else
        Handle(Found->second);
    });
  }

  void send(const std::string &From, const SendProbe &Probe) {
    ++ProbesSent;
    auto *Sender = Nodes.at(From).Detector.get();
    deliver(From, Probe.Address, [=, this](Node &Target) {
      auto Reply = Target.Detector->heartbeatReceived(Probe.Own, Now);
      reply(Probe.Address, From, Sender, Probe.Token, Probe.Deadline, Reply);
    });
  }

  void send(const std::string &From, const SendIndirectProbe &Probe) {
    ++ProbesSent;
    auto *Sender = Nodes.at(From).Detector.get();
    deliver(From, Probe.HelperAddress, [=, this](Node &) {
      deliver(Probe.HelperAddress, Probe.TargetAddress, [=, this](Node &Target) {
        auto Reply = Target.Detector->heartbeat(Now);
        deliver(Probe.TargetAddress, Probe.HelperAddress, [=, this](Node &) {
          reply(Probe.HelperAddress, From, Sender, Probe.Token, Probe.Deadline, Reply);
        });
      });
    });
  }

  void reply(const std::string &From, const std::string &To, Membership *Prober, ProbeToken Token,
             core::TimePoint Deadline, const Heartbeat &Reply) {
    deliver(From, To, [=, this](Node &Sender) {
      if (Now <= Deadline && Sender.Detector.get() == Prober)
        act(To, [&](auto &Out) { Prober->probeReplied(Token, Reply, Now, Out); });
    });
  }

  void send(const std::string &From, const SendAnnouncement &Update) {
    ++AnnouncementsSent;
    deliver(From, Update.Address, [=, this](Node &Target) {
      act(Update.Address, [&](auto &Out) {
        auto Answer = Target.Detector->announced(Update.Content, Now, Out);
        if (Answer.Scope == Announcement::Extent::Full)
          Queue_.emplace(Now, [=, this] { answer(Update.Address, From, Answer); });
      });
    });
  }

  void answer(const std::string &From, const std::string &To, Announcement Answer) {
    Answer.Scope = Announcement::Extent::Changes;
    deliver(From, To, [=, this](Node &Sender) {
      act(To, [&](auto &Out) { Sender.Detector->announced(Answer, Now, Out); });
    });
  }

  std::multimap<core::TimePoint, std::function<void()>> Queue_;
  std::uint64_t Seed_ = 0;
};

} // namespace cornellift::kernel::testing
