// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Emulator/EmulatedInstance.h"

#include "Net/LineStream.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <sstream>

namespace cicadawind::emulator {

using Tcp = boost::asio::ip::tcp;

static std::string takeWord(std::string &Text) {
  std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? "" : Text.substr(Blank + 1);
  return Word;
}

static LogPosition positionFrom(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  return {.WrittenIn = std::stoull(Text.substr(0, Dot)),
          .Index = std::stoull(Text.substr(Dot + 1))};
}

/// A connection to an instance.
class EmulatedInstance::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(EmulatedInstance &Owner, Tcp::socket Socket, std::uint64_t Number)
      : Owner(Owner), Number(Number),
        Stream(LineStream::accepted(std::move(Socket), {})),
        WorkTimer(Owner.Loop) {}

  void start() {
    Stream->onLine([Self = shared_from_this()](std::string_view Line) {
      Self->Lines.emplace_back(Line);
      Self->next();
    });
    Stream->onEnd([Self = shared_from_this()](LineStream::End) {
      Self->WorkTimer.cancel();
    });
    Stream->start();
  }
  void close() {
    Stream->close();
    WorkTimer.cancel();
  }
  bool isOpen() const { return Stream->isOpen(); }
  bool isRunning() const { return Running; }

private:
  void next() {
    if (Running || IsMute || Lines.empty() || Owner.Faults.Silent ||
        !Stream->isOpen())
      return;
    std::string Line = std::move(Lines.front());
    Lines.pop_front();
    if (Owner.Faults.Work == Duration::zero()) {
      handle(std::move(Line));
      return next();
    }
    Running = true;
    WorkTimer.expires_after(Owner.Faults.Work);
    WorkTimer.async_wait([Self = shared_from_this(), Line](const auto &Code) {
      if (Code)
        return;
      Self->Running = false;
      Self->handle(Line);
      Self->next();
    });
  }

  void handle(std::string Line) {
    Owner.Group.advance(BootClock::now());
    std::string Word = takeWord(Line);
    if (Word == "STARTUP")
      return open(Line);
    if (Word == "TERMINATE")
      return close();
    std::string RequestId = takeWord(Line);
    RunRecord Record{.Id = RequestId,
                     .Text = Line,
                     .Instance = Owner.Id,
                     .Connection = Number,
                     .Account = Account,
                     .InTransaction = State != 'I',
                     .Values = valuesText()};
    bool DropsReply = false;
    std::string Answer = run(RequestId, Line, DropsReply);
    Record.Answer = Answer;
    Owner.Records.push_back(Record);
    if (DropsReply)
      return close();
    if (IsMute)
      return;
    LogPosition End = Owner.Group.applied(Owner.Id);
    Stream->send(Answer + "READY " + State + " " + toString(End) + "\r\n");
  }

  void open(std::string Line) {
    std::string Group = takeWord(Line);
    Account = takeWord(Line);
    bool Wrong =
        Group != Owner.Group.name() || (!Line.empty() && Line != Owner.Id);
    if (Wrong || Owner.connections() > Owner.MaxConnections) {
      Stream->send(std::string("ERROR ") + (Wrong ? "MISROUTED " : "TOOMANY ") +
                   Owner.Id + "\r\n");
      return Stream->closeAfterSending();
    }
    Stream->send("READY I " + toString(Owner.Group.applied(Owner.Id)) + "\r\n");
  }

  const EmulatedGroup::Instance &self() const {
    return Owner.Group.at(Owner.Id);
  }
  bool isPrimary() const { return self().IsPrimary; }

  std::string valuesText() const {
    std::string Text;
    for (const auto &[Name, Value] : Values)
      Text += Name + "=" + Value + ";";
    return Text;
  }

  std::string refuse(const std::string &Code) {
    if (State == 'T')
      State = 'E';
    return "ERROR " + Code + " " + Owner.Id + "\r\n";
  }

  static std::string done(const std::string &Receipt) {
    return "COMPLETE " + Receipt + "\r\n";
  }

  /// Runs or refuses a request and returns its reply without the READY line.
  /// Sets \p DropsReply if the reply must not be sent.
  std::string run(const std::string &RequestId, std::string Text,
                  bool &DropsReply) {
    std::string Verb = takeWord(Text);
    if (Verb == "AFTER") {
      LogPosition Needed = positionFrom(takeWord(Text));
      if (!Owner.Group.includes(Owner.Id, Needed))
        return refuse("LAGGING");
      Verb = takeWord(Text);
    }
    if (State == 'E' && Verb != "ROLLBACK" && Verb != "COMMIT")
      return refuse("MALFORMED");
    bool NeedsSlot = Verb == "READ" || Verb == "WRITE" || Verb == "EXECUTE" ||
                     Verb == "COMMIT" || Verb == "STATUS";
    if (NeedsSlot && Owner.Faults.Busy > 0) {
      --Owner.Faults.Busy;
      return refuse("BUSY");
    }
    if (Verb == "DEMOTE" && Owner.Faults.BusyDemotes > 0) {
      --Owner.Faults.BusyDemotes;
      return refuse("BUSY");
    }
    if (Verb == "SET" || Verb == "PREPARE" || Verb == "CLOSE" ||
        Verb == "RESET")
      return runLocal(Verb, Text);
    if (Verb == "STATUS" || Verb == "DEMOTE" || Verb == "PAUSE" ||
        Verb == "RESUME")
      return runControl(Verb, Text);
    if (Verb == "BEGIN")
      return begin(Text == "READ");
    if (Verb == "ROLLBACK") {
      IsMute = Owner.Faults.MuteRollbacks > 0;
      Owner.Faults.MuteRollbacks -= IsMute ? 1 : 0;
      endTransaction();
      return done("-");
    }
    if (Verb == "COMMIT")
      return commit(RequestId, DropsReply);
    return runStatement(RequestId, Verb, Text, DropsReply);
  }

  std::string runLocal(const std::string &Verb, std::string Text) {
    if (Verb == "RESET") {
      Values.clear();
      Prepared.clear();
    }
    std::string Name = takeWord(Text);
    if (Verb == "SET")
      Values[Name] = Text;
    if (Verb == "PREPARE")
      Prepared[Name] = takeWord(Text);
    if (Verb == "CLOSE")
      Prepared.erase(Name);
    return done("-");
  }

  std::string runControl(const std::string &Verb, const std::string &Text) {
    if (Verb == "DEMOTE")
      Owner.Group.demote(Owner.Id, std::stoull(Text));
    if (Verb == "PAUSE")
      Owner.Group.pause(Owner.Id, std::stoull(Text));
    if (Verb == "RESUME")
      Owner.Group.resume(Owner.Id);
    std::ostringstream Row;
    Row << "ROW " << (isPrimary() ? "primary" : "replica") << " "
        << self().CurrentTerm << " " << toString(Owner.Group.received(Owner.Id))
        << " " << self().PausedUpTo << " 0 0 " << Owner.connections() << "\r\n";
    return Row.str() + done("-");
  }

  std::string begin(bool ReadOnly) {
    if (State != 'I')
      return refuse("MALFORMED");
    if (!ReadOnly && !isPrimary())
      return refuse("READONLY");
    State = 'T';
    IsReadWrite = !ReadOnly;
    return done("-");
  }

  void endTransaction() {
    State = 'I';
    Pending.clear();
  }

  std::string commit(const std::string &RequestId, bool &DropsReply) {
    if (State == 'E') {
      endTransaction();
      return refuse("ABORTED");
    }
    if (State != 'T')
      return refuse("MALFORMED");
    if (!Pending.empty() && !isPrimary()) {
      endTransaction();
      return refuse("READONLY");
    }
    for (const auto &[Item, Data] : Pending)
      Owner.Group.commit(Owner.Id, Item, Data, RequestId, BootClock::now());
    endTransaction();
    DropsReply = consumeLostReply();
    return done("r-" + RequestId);
  }

  bool consumeLostReply() {
    if (Owner.Faults.LoseAnswers == 0)
      return false;
    --Owner.Faults.LoseAnswers;
    return true;
  }

  std::string runStatement(const std::string &RequestId, std::string Verb,
                           std::string Text, bool &DropsReply) {
    if (Verb == "EXECUTE") {
      auto It = Prepared.find(takeWord(Text));
      if (It == Prepared.end())
        return refuse("NOSTMT");
      Verb = It->second;
    }
    if (State == 'T' && IsReadWrite && !isPrimary())
      return refuse("READONLY");
    std::string Item = takeWord(Text);
    if (Verb == "READ")
      return "ROW " + readItem(Item) + "\r\n" + done("r-" + RequestId);
    if (!isPrimary() || (State == 'T' && !IsReadWrite))
      return refuse("READONLY");
    if (State == 'T') {
      Pending.emplace_back(Item, Text);
      return done("r-" + RequestId);
    }
    Owner.Group.commit(Owner.Id, Item, Text, RequestId, BootClock::now());
    DropsReply = consumeLostReply();
    return done("r-" + RequestId);
  }

  std::string readItem(const std::string &Item) const {
    for (auto It = Pending.rbegin(); It != Pending.rend(); ++It)
      if (It->first == Item)
        return It->second;
    return Owner.Group.read(Owner.Id, Item);
  }

  EmulatedInstance &Owner;
  std::uint64_t Number;
  /// Who the caller says that it is.
  std::string Account;
  std::shared_ptr<LineStream> Stream;
  boost::asio::steady_timer WorkTimer;
  std::deque<std::string> Lines;
  bool Running = false;
  bool IsMute = false;
  char State = 'I';
  bool IsReadWrite = true;
  std::vector<std::pair<std::string, std::string>> Pending;
  std::map<std::string, std::string> Values;
  /// Verb of each prepared statement, READ or WRITE, by name.
  std::map<std::string, std::string> Prepared;
};

EmulatedInstance::EmulatedInstance(boost::asio::io_context &Loop,
                                   EmulatedGroup &Group, std::string Id,
                                   unsigned MaxConnections)
    : Loop(Loop), Group(Group), Id(std::move(Id)),
      MaxConnections(MaxConnections),
      Acceptor(Loop,
               Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  acceptNext();
}

EmulatedInstance::~EmulatedInstance() {
  *Alive = false;
  crash();
}

std::string EmulatedInstance::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

std::size_t EmulatedInstance::running() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Each) { return Each->isRunning(); }));
}

std::size_t EmulatedInstance::connections() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Each) { return Each->isOpen(); }));
}

void EmulatedInstance::acceptNext() {
  Acceptor.async_accept(
      [this, IsAlive = Alive](const auto &Code, Tcp::socket Socket) {
        if (Code || !*IsAlive)
          return;
        auto Next = std::make_shared<Connection>(*this, std::move(Socket),
                                                 ++LastConnection);
        Connections.push_back(Next);
        Next->start();
        acceptNext();
      });
}

void EmulatedInstance::resetConnections() {
  for (const std::shared_ptr<Connection> &Each : Connections)
    Each->close();
  Connections.clear();
}

void EmulatedInstance::crash() {
  // Closing fails if the instance has crashed already.
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  Group.at(Id).Down = true;
  resetConnections();
}

} // namespace cicadawind::emulator
