// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Deployment3.h"

using namespace review;

namespace {

// All machines lose power. One of the two machines of each zone comes back, the
// other one is lost for good. The callers belong to a tenant with a rate limit
// that they do not reach.
class Case {
public:
  explicit Case(const std::string &RecordPath) : Record(RecordPath), System(Loop, Record, {.Queue = 16}, 6) {
    System.Tenants = json::array({{{"name", "tenant1"}, {"apiKeys", {"key1"}}, {"priority", 0}, {"ratePerS", 278}, {"burst", 278}}});
  }

  boost::asio::io_context Loop{1};

  awaitable<int> run() {
    System.startAll();
    if (!co_await System.awaitAllReady())
      co_return CouldNotRun;
    for (Proxy &Each : System.Proxies)
      for (const char *Database : {"pedidos", "precios", "catalogo"})
        boost::asio::co_spawn(Loop, use(Each, Database), boost::asio::detached);
    co_await pause(Ms(12000));
    double Before = co_await measure(Ms(8000), "before the final fault");
    Record.line("all machines lose power");
    for (Proxy &Each : System.Proxies)
      Each.kill();
    co_await pause(Ms(1000));
    std::size_t Back = hasTrouble() ? System.Proxies.size() / 2 : System.Proxies.size();
    for (std::size_t I = 0; I < Back; ++I)
      System.start(System.Proxies[I]);
    Record.line(std::to_string(Back) + " machines are back");
    for (std::size_t I = 0; I < Back; ++I)
      if (!co_await System.awaitReady(System.Proxies[I]))
        co_return CouldNotRun;
    for (std::size_t I = Back; I < System.Proxies.size(); ++I)
      System.Proxies[I].Ip = System.Proxies[I % Back].Ip;
    co_await pause(Recovery);
    double After = co_await measure(Ms(15000), "later than recoveryS after the machines are back");
    Stops = true;
    co_await pause(Ms(300));
    if (Before < Quarter)
      co_return CouldNotRun;
    bool IsBroken = After < Quarter;
    Record.result(IsBroken ? "RECOVER is broken" : "RECOVER is kept");
    co_return IsBroken ? Broken : Held;
  }

private:
  static constexpr double Quarter = 0.25;
  /// The bound recoveryS of the site.
  static constexpr Ms Recovery{15000};

  /// Returns the share of the requests sent within \p Time that are served.
  awaitable<double> measure(Ms Time, const char *When) {
    Sent = Served = 0;
    IsCounting = true;
    co_await pause(Time);
    IsCounting = false;
    co_await pause(Ms(2000));
    Record.result(std::to_string(Served) + " of " + std::to_string(Sent) + " requests sent " + When + " are served");
    co_return Sent == 0 ? 0.0 : static_cast<double>(Served) / Sent;
  }

  /// One client: reads, and every tenth time writes where the route allows it.
  awaitable<void> use(Proxy &At, const char *Database) {
    Client C(Loop, Record, "key1");
    bool Writes = std::string(Database) != "catalogo";
    while (!Stops) {
      if (!C.isOpen() && !co_await C.open(At.Ip, System.Numbers.callers(), Database)) {
        co_await pause(Ms(200));
        continue;
      }
      int Number = ++LastRequest;
      std::string Item = "item" + std::to_string(Number % 50);
      std::string Text = Writes && Number % 10 == 0 ? "WRITE " + Item + " data" : "READ " + Item;
      bool Counts = IsCounting;
      Sent += Counts;
      std::string Answer = co_await C.ask("q" + std::to_string(Number), Text);
      Served += Counts && Answer.starts_with("COMPLETE");
      co_await pause(Ms(200));
    }
  }

  RecordFile Record;
  Deployment System;
  bool Stops = false, IsCounting = false;
  int LastRequest = 0, Sent = 0, Served = 0;
};

} // namespace

int main(int, char **Arguments) {
  Case Recover(Arguments[1]);
  return runCase(Recover.Loop, Recover.run(), Ms(110000));
}
