#ifndef CICADAWIND_REVIEW_ACKEDCOMMITS3_H
#define CICADAWIND_REVIEW_ACKEDCOMMITS3_H

#include "Deployment3.h"

namespace review {

/// Clients that write, and the check of the rule LOST: whether the log of an
/// instance that is promoted has every commit whose success a client received.
class AckedCommits {
public:
  AckedCommits(const std::string &RecordPath, Group::Options Db, unsigned Machines)
      : Record(RecordPath), System(Loop, Record, std::move(Db), Machines) {
    System.Db.OnPromoted = [this](const std::string &Id) { check(Id); };
  }

  boost::asio::io_context Loop{1};
  RecordFile Record;
  Deployment System;
  std::set<std::string> Acked;
  bool Stops = false;
  /// Whether an acknowledged commit was missing; empty before a promotion.
  std::optional<bool> Lost;

  /// Starts a client that writes at each machine.
  void startWriters() {
    for (Proxy &Each : System.Proxies)
      boost::asio::co_spawn(Loop, write(Each), boost::asio::detached);
  }
  /// Starts \p Count clients that read at each machine.
  void startReaders(const char *Database, unsigned Count) {
    for (Proxy &Each : System.Proxies)
      for (unsigned I = 0; I < Count; ++I)
        boost::asio::co_spawn(Loop, read(Each, Database, I), boost::asio::detached);
  }

  /// Waits for \p Time; whether writes were acknowledged in it.
  awaitable<bool> serve(Ms Time) {
    std::size_t Before = Acked.size();
    co_await pause(Time);
    co_return Acked.size() >= Before + 10;
  }

  void makeDeaf(const std::string &Id) {
    Record.line("trouble: " + Id + " receives nothing from now on");
    System.Db.at(Id).Deaf = true;
  }
  void crash(const std::string &Id) {
    Record.line("trouble: " + Id + " crashes");
    System.Db.crash(Id);
  }

  /// \p Id reports that it leaves; it goes on serving.
  void drain(const std::string &Id) {
    Record.line("planned: " + Id + " reports draining");
    System.Db.at(Id).Leaving = true;
    System.registerAll();
  }

  /// Stops \p Each with SIGTERM and starts it again.
  awaitable<bool> restart(Proxy &Each) {
    Record.line("planned: SIGTERM to " + Each.Name);
    Each.signal(SIGTERM);
    for (int I = 0; I < 70 && !Each.hasEnded(); ++I)
      co_await pause(Ms(100));
    Each.kill();
    System.start(Each);
    co_return co_await System.awaitReady(Each);
  }

  /// Waits for a promotion.
  awaitable<bool> awaitPromotion(Ms Most) {
    TimePoint End = BootClock::now() + Most;
    while (!Lost && BootClock::now() < End)
      co_await pause(Ms(50));
    co_return Lost.has_value();
  }

  awaitable<int> finish() {
    co_await pause(Ms(2000));
    Stops = true;
    co_await pause(Ms(300));
    bool IsBroken = Lost.value_or(false);
    Record.result(IsBroken ? "LOST is broken" : "LOST is kept");
    co_return IsBroken ? Broken : Held;
  }

private:
  void check(const std::string &Id) {
    const Group::Instance &Leader = System.Db.at(Id);
    std::vector<std::string> Missing;
    for (const std::string &Request : Acked)
      if (!Leader.has(Request))
        Missing.push_back(Request);
    Record.result(Id + " is promoted; its log ends at " + textOf(Leader.received()) + "; of " +
                  std::to_string(Acked.size()) + " acknowledged commits it lacks " + std::to_string(Missing.size()));
    for (auto &[Other, I] : System.Db.all())
      Record.line("log of " + Other + (I.Up ? "" : " (down)") + " ends at " + textOf(I.received()));
    for (const std::string &Request : Missing)
      Record.line("acknowledged and not in the log of " + Id + ": " + Request);
    Lost = Lost.value_or(false) || !Missing.empty();
  }

  awaitable<void> write(Proxy &At) {
    Client C(Loop, Record, "writer-" + At.Name);
    while (!Stops) {
      if (!C.isOpen() && !co_await C.open(At.Ip, System.Numbers.callers(), "pedidos")) {
        co_await pause(Ms(200));
        continue;
      }
      std::string Id = "w" + std::to_string(++LastWrite);
      std::string Answer = co_await C.ask(Id, "WRITE item" + std::to_string(LastWrite % 50) + " data-of-" + Id);
      if (Answer.starts_with("COMPLETE"))
        Acked.insert(Id);
      co_await pause(Ms(40));
    }
  }

  awaitable<void> read(Proxy &At, const char *Database, unsigned Number) {
    Client C(Loop, Record, "reader-" + std::to_string(Number) + "-" + At.Name);
    while (!Stops) {
      if (!C.isOpen() && !co_await C.open(At.Ip, System.Numbers.callers(), Database)) {
        co_await pause(Ms(200));
        continue;
      }
      std::string Id = "r" + std::to_string(++LastRead);
      co_await C.ask(Id, "READ item" + std::to_string(LastRead % 50));
      co_await pause(Ms(20));
    }
  }

  int LastWrite = 0, LastRead = 0;
};

} // namespace review

#endif
