#ifndef CICADAWIND_REVIEW_DATABASE3_H
#define CICADAWIND_REVIEW_DATABASE3_H

// A group of database instances that speaks the line protocol of PROTOCOL.md.
// One process plays all instances; each listens on a loopback port of its own.

#include "Core/Clock.h"
#include "Net/LineStream.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace cicadawind;
using Tcp = boost::asio::ip::tcp;
using Ms = std::chrono::milliseconds;

struct Position {
  unsigned long long Term = 1;
  unsigned long long Number = 0;
  auto operator<=>(const Position &) const = default;
};

inline std::string textOf(const Position &P) {
  return std::to_string(P.Term) + "." + std::to_string(P.Number);
}

struct Entry {
  Position At;
  std::string Item, Data, Request;
};

/// Writes a line of the record, with the time since the start.
using Recorder = std::function<void(const std::string &)>;

class Group {
public:
  struct Options {
    std::string Service = "bodega";
    /// Number of replicas that must have received a commit before it is acked.
    unsigned SyncReplicas = 0;
    unsigned Slots = 2;
    /// Requests that wait for a slot; one more is refused as BUSY.
    unsigned Queue = 16;
    unsigned MaxConnections = 16;
    Ms Handshake{12}, ReadWork{5}, WriteWork{3}, StatusWork{1};
    Ms Network{2}, Lag{8}, PromoteTime{300};
    /// Time that a line takes between a machine and an instance, each way.
    Ms OneWay{0};
  };

  class Instance {
  public:
    std::string Id, Zone;
    bool Up = true, IsPrimary = false, Leaving = false;
    /// Whether the instance receives nothing from the primary.
    bool Deaf = false;
    unsigned long long Term = 1, PausedBelow = 0, Seq = 0;
    long long Born = 0;
    std::vector<Entry> Log;
    std::size_t Applied = 0;
    unsigned Running = 0;
    std::deque<std::function<void()>> Waiting;
    std::unique_ptr<Tcp::acceptor> Acceptor;
    std::set<std::shared_ptr<void>> Sessions;
    std::vector<std::weak_ptr<LineStream>> Streams;

    Position received() const { return Log.empty() ? Position{} : Log.back().At; }
    Position applied() const { return Applied ? Log[Applied - 1].At : Position{}; }
    bool has(const std::string &Request) const {
      return std::any_of(Log.begin(), Log.end(), [&](const Entry &E) { return E.Request == Request; });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(Acceptor->local_endpoint().port()); }
  };

  Group(boost::asio::io_context &Loop, Options O, std::vector<std::pair<std::string, std::string>> IdsAndZones,
        Recorder R)
      : Loop(Loop), Opts(std::move(O)), Record(std::move(R)) {
    for (auto &[Id, Zone] : IdsAndZones) {
      Instance &I = Instances[Id];
      I.Id = Id;
      I.Zone = Zone;
      I.Born = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
      I.Acceptor = std::make_unique<Tcp::acceptor>(Loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      accept(I);
    }
    Primary = IdsAndZones.front().first;
    at(Primary).IsPrimary = true;
  }

  Instance &at(const std::string &Id) { return Instances.at(Id); }
  std::map<std::string, Instance> &all() { return Instances; }
  const std::string &primary() const { return Primary; }
  const Options &options() const { return Opts; }
  /// Called when a role changes.
  std::function<void()> OnChange = [] {};
  /// Called just before \p Id leads, with the log that it has received.
  std::function<void(const std::string &Id)> OnPromoted = [](const std::string &) {};

  /// Whether \p Id loses the answer to a request that it has run. The
  /// connection stays open, and nothing more arrives on it.
  std::function<bool(const std::string &Id)> LosesAnswer = [](const std::string &) { return false; };

  /// The process of the instance ends; what it has sent has left.
  void crash(const std::string &Id) {
    Instance &I = at(Id);
    I.Up = false;
    boost::system::error_code Ignored;
    I.Acceptor->close(Ignored);
    for (auto &Weak : I.Streams)
      if (auto S = Weak.lock())
        S->close();
    I.Streams.clear();
    I.Waiting.clear();
    I.Running = 0;
  }

  void hear(const std::string &Id) {
    at(Id).Deaf = false;
    if (!Primary.empty() && at(Primary).Up)
      copyAll(at(Id));
  }

  /// Accepts an order; the instance leads PromoteTime later.
  bool promote(const std::string &Id) {
    auto It = Instances.find(Id);
    if (It == Instances.end() || !It->second.Up)
      return false;
    if (Id == Primary || Id == Promoting)
      return true;
    Promoting = Id;
    after(Opts.PromoteTime, [this, Id] { lead(Id); });
    return true;
  }

private:
  struct Session;

  void after(Ms Wait, std::function<void()> Do) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Loop);
    Timer->expires_after(Wait);
    Timer->async_wait([Timer, Do](const auto &Code) {
      if (!Code)
        Do();
    });
  }

  void travel(std::function<void()> Do) {
    if (Opts.OneWay == Ms::zero())
      return Do();
    after(Opts.OneWay, std::move(Do));
  }

  void lead(const std::string &Id) {
    if (Promoting != Id || !at(Id).Up)
      return;
    Promoting.clear();
    OnPromoted(Id);
    ++NewestTerm;
    Instance &Leader = at(Id);
    for (auto &[Other, I] : Instances) {
      if (Other == Id)
        continue;
      I.IsPrimary = false;
      I.Term = NewestTerm;
      std::size_t Common = 0;
      while (Common < I.Log.size() && Common < Leader.Log.size() && I.Log[Common].At == Leader.Log[Common].At)
        ++Common;
      I.Log.resize(Common);
      I.Applied = std::min(I.Applied, Common);
    }
    Primary = Id;
    Leader.IsPrimary = true;
    Leader.Term = NewestTerm;
    Leader.PausedBelow = 0;
    Leader.Applied = Leader.Log.size();
    for (auto &[Other, I] : Instances)
      if (Other != Id)
        copyAll(I);
    OnChange();
  }

  bool receives(const Instance &I) const { return I.Up && !I.Deaf && !I.IsPrimary && I.PausedBelow <= NewestTerm; }

  void copyAll(Instance &I) {
    if (Primary.empty() || !receives(I))
      return;
    Instance &Leader = at(Primary);
    for (std::size_t N = I.Log.size(); N < Leader.Log.size(); ++N)
      I.Log.push_back(Leader.Log[N]);
    scheduleApply(I);
    settleAcks();
  }

  void scheduleApply(Instance &I) {
    std::size_t Upto = I.Log.size();
    unsigned long long Of = I.Term;
    after(Opts.Lag, [this, &I, Upto, Of] {
      if (I.Term == Of && Upto <= I.Log.size())
        I.Applied = std::max(I.Applied, Upto);
    });
  }

  /// Appends a commit at the primary and calls \p Done once it may be acked.
  void commit(Instance &Leader, std::vector<Entry> Writes, std::function<void()> Done) {
    for (Entry &E : Writes) {
      E.At = {Leader.Term, Leader.Log.empty() ? 1 : Leader.Log.back().At.Number + 1};
      Leader.Log.push_back(E);
    }
    Leader.Applied = Leader.Log.size();
    Position End = Leader.received();
    Acks.push_back({Leader.Id, Leader.Term, End, std::move(Done)});
    for (auto &[Id, I] : Instances)
      if (receives(I))
        after(Opts.Network, [this, &I, From = Leader.Id] {
          if (Primary == From && at(From).Term == I.Term)
            copyAll(I);
        });
    settleAcks();
  }

  void settleAcks() {
    std::vector<std::function<void()>> Due;
    std::erase_if(Acks, [&](Ack &A) {
      Instance &L = at(A.Leader);
      if (!L.IsPrimary || L.Term != A.Term || !L.Up)
        return true;
      auto Count = std::count_if(Instances.begin(), Instances.end(), [&](auto &Each) {
        return !Each.second.IsPrimary && Each.second.Term == A.Term && Each.second.received() >= A.End;
      });
      if (static_cast<unsigned>(Count) < Opts.SyncReplicas)
        return false;
      Due.push_back(std::move(A.Done));
      return true;
    });
    for (auto &Do : Due)
      Do();
  }

  void accept(Instance &I);

  /// Runs \p Work for \p Time on a slot; false if all are in use and the queue
  /// is full.
  bool useSlot(Instance &I, Ms Time, std::function<void()> Work) {
    auto Start = [this, &I, Time, Work = std::move(Work)] {
      ++I.Running;
      after(Time, [this, &I, Work] {
        if (!I.Up)
          return;
        --I.Running;
        Work();
        if (!I.Waiting.empty() && I.Running < Opts.Slots) {
          auto Next = std::move(I.Waiting.front());
          I.Waiting.pop_front();
          Next();
        }
      });
    };
    if (I.Running < Opts.Slots) {
      Start();
      return true;
    }
    if (I.Waiting.size() >= Opts.Queue)
      return false;
    I.Waiting.push_back(std::move(Start));
    return true;
  }

  struct Ack {
    std::string Leader;
    unsigned long long Term;
    Position End;
    std::function<void()> Done;
  };

  boost::asio::io_context &Loop;
  Options Opts;
  Recorder Record;
  std::map<std::string, Instance> Instances;
  std::string Primary, Promoting;
  unsigned long long NewestTerm = 1;
  std::vector<Ack> Acks;
};

/// A connection to an instance.
struct Group::Session : std::enable_shared_from_this<Session> {
  Session(Group &G, Instance &I, Tcp::socket S) : G(G), I(I), Stream(LineStream::accepted(std::move(S), {})) {}

  void start() {
    Stream->onLine([Self = shared_from_this()](std::string_view L) {
      Self->G.travel([Self, Line = std::string(L)] {
        Self->Lines.push_back(Line);
        Self->next();
      });
    });
    Stream->onEnd([Self = shared_from_this()](LineStream::End) { Self->I.Sessions.erase(Self); });
    Stream->start();
  }

  static std::string word(std::string &T) {
    std::size_t B = T.find(' ');
    std::string W = T.substr(0, B);
    T = B == std::string::npos ? "" : T.substr(B + 1);
    return W;
  }

  void next() {
    if (Busy || Lines.empty() || !Stream->isOpen())
      return;
    std::string L = std::move(Lines.front());
    Lines.pop_front();
    Busy = true;
    std::string W = word(L);
    if (W == "STARTUP")
      return open(L);
    if (W != "QUERY")
      return Stream->close();
    Request = word(L);
    Text = L;
    run();
  }

  void open(std::string L) {
    std::string Service = word(L);
    word(L);
    bool Wrong = Service != G.Opts.Service || (!L.empty() && L != I.Id);
    if (Wrong || I.Sessions.size() > G.Opts.MaxConnections) {
      Stream->send(std::string("ERROR ") + (Wrong ? "MISROUTED " : "TOOMANY ") + I.Id + "\r\n");
      Stream->closeAfterSending();
      I.Sessions.erase(shared_from_this());
      return;
    }
    G.after(G.Opts.Handshake, [Self = shared_from_this()] {
      Self->Stream->send("READY I " + textOf(Self->I.applied()) + "\r\n");
      Self->Busy = false;
      Self->next();
    });
  }

  void answer(const std::string &Lines_) {
    if (!I.Up)
      return;
    bool IsLost = G.LosesAnswer(I.Id);
    // The proxy's own brackets around single reads would fill the record.
    bool IsBracket = Request == "-" && (Verb == "BEGIN" || Verb == "ROLLBACK");
    if (!IsBracket || IsLost)
      G.Record(I.Id + " ran " + Request + " '" + Text.substr(0, 60) + "' -> " + Lines_.substr(0, Lines_.find("\r\n")) +
               (IsLost ? " (lost)" : ""));
    // Busy from now on: the connection returns nothing further.
    if (IsLost)
      return;
    std::string Bytes = Lines_ + "READY " + State + " " + textOf(I.applied()) + "\r\n";
    G.travel([Self = shared_from_this(), Bytes] { Self->Stream->send(Bytes); });
    Busy = false;
    next();
  }
  void done(const std::string &Receipt, const std::string &Rows = "") {
    answer(Rows + "COMPLETE " + Receipt + "\r\n");
  }
  void refuse(const char *Code) {
    if (State == 'T')
      State = 'E';
    answer(std::string("ERROR ") + Code + " " + I.Id + "\r\n");
  }
  void end() {
    State = 'I';
    Pending.clear();
  }

  void onSlot(Ms Time, void (Session::*Do)()) {
    if (!G.useSlot(I, Time, [Self = shared_from_this(), Do] { (Self.get()->*Do)(); }))
      refuse("BUSY");
  }

  void run() {
    Rest = Text;
    Verb = word(Rest);
    if (Verb == "AFTER") {
      std::string P = word(Rest);
      std::size_t Dot = P.find('.');
      Position Needed{std::stoull(P.substr(0, Dot)), std::stoull(P.substr(Dot + 1))};
      if (Needed.Number > 0 && I.applied() < Needed)
        return refuse("LAGGING");
      Verb = word(Rest);
    }
    if (State == 'E' && Verb != "ROLLBACK" && Verb != "COMMIT")
      return refuse("MALFORMED");
    if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" || Verb == "DEMOTE")
      return onSlot(G.Opts.StatusWork, &Session::control);
    if (Verb == "READ")
      return onSlot(G.Opts.ReadWork, &Session::statement);
    if (Verb == "WRITE" || Verb == "COMMIT")
      return onSlot(G.Opts.WriteWork, &Session::statement);
    if (Verb == "BEGIN") {
      if (Rest != "READ" && !I.IsPrimary)
        return refuse("READONLY");
      State = 'T';
      Plain = Rest != "READ";
    }
    if (Verb == "ROLLBACK")
      end();
    done("-");
  }

  void control() {
    unsigned long long Term = Rest.empty() ? 0 : std::stoull(Rest);
    if (Verb == "PAUSE" && !I.IsPrimary && Term > I.Term)
      I.PausedBelow = std::max(I.PausedBelow, Term);
    if (Verb == "RESUME")
      I.PausedBelow = 0;
    if (Verb == "DEMOTE" && I.IsPrimary && I.Term < Term) {
      I.IsPrimary = false;
      G.OnChange();
    }
    done("-", std::string("ROW ") + (I.IsPrimary ? "primary " : "replica ") + std::to_string(I.Term) + " " +
                  textOf(I.received()) + " " + std::to_string(I.PausedBelow) + " 0 " + std::to_string(I.Running) +
                  " " + std::to_string(I.Sessions.size()) + "\r\n");
  }

  void statement() {
    std::string Receipt = "r-" + Request;
    if (Verb == "COMMIT") {
      if (State != 'T') {
        bool Failed = State == 'E';
        end();
        return refuse(Failed ? "ABORTED" : "MALFORMED");
      }
      std::vector<Entry> Writes = Pending;
      end();
      if (Writes.empty())
        return done(Receipt);
      if (!I.IsPrimary)
        return refuse("READONLY");
      for (Entry &E : Writes)
        E.Request = Request;
      return G.commit(I, Writes, [Self = shared_from_this(), Receipt] { Self->done(Receipt); });
    }
    if (State == 'T' && Plain && !I.IsPrimary)
      return refuse("READONLY");
    std::string Item = word(Rest);
    if (Verb == "READ") {
      std::string Data = "-";
      for (std::size_t N = 0; N < I.Applied; ++N)
        if (I.Log[N].Item == Item)
          Data = I.Log[N].Data;
      return done(Receipt, "ROW " + Data + "\r\n");
    }
    if (!I.IsPrimary || (State == 'T' && !Plain))
      return refuse("READONLY");
    Entry E{.Item = Item, .Data = Rest, .Request = Request};
    if (State == 'T') {
      Pending.push_back(E);
      return done(Receipt);
    }
    G.commit(I, {E}, [Self = shared_from_this(), Receipt] { Self->done(Receipt); });
  }

  Group &G;
  Instance &I;
  std::shared_ptr<LineStream> Stream;
  std::deque<std::string> Lines;
  std::string Request, Text, Verb, Rest;
  std::vector<Entry> Pending;
  char State = 'I';
  bool Plain = true, Busy = false;
};

inline void Group::accept(Instance &I) {
  I.Acceptor->async_accept([this, &I](const auto &Code, Tcp::socket S) {
    if (Code)
      return;
    auto Next = std::make_shared<Session>(*this, I, std::move(S));
    I.Sessions.insert(Next);
    I.Streams.push_back(Next->Stream);
    Next->start();
    accept(I);
  });
}

} // namespace review

#endif
