// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Links/TargetLink.h"

#include <cassert>
#include <unordered_map>

namespace cicadawind {
namespace internal {

/// Returns the name under which a template is prepared on every link of this
/// process. Names are never removed; templates come from callers' programs, so
/// there are few.
static std::string templateNameFor(bool Writes, const std::string &Template) {
  static std::unordered_map<std::string, std::string> Names;
  std::string Key = (Writes ? "w " : "r ") + Template;
  auto [It, IsNew] = Names.try_emplace(Key);
  if (IsNew)
    It->second = "c" + std::to_string(Names.size());
  return It->second;
}

} // namespace internal

TargetLink::TargetLink(boost::asio::io_context &Loop, Options NewOpts)
    : Opts(std::move(NewOpts)),
      Stream(LineStream::unconnected(Loop, Opts.Stream)) {
  assert(Opts.Codec && "a target link needs a codec");
  // Applies until the dispatcher sets the values of a granted request.
  constexpr Millis InitialMaxWait{300};
  setRelayOptions(0, InitialMaxWait, {});
}

void TargetLink::open(std::function<void(std::optional<Error>)> Done) {
  OpenDone = std::move(Done);
  OpeningSince = BootClock::now();
  Stream->onLine([this](std::string_view Line) { handleLine(Line); });
  Stream->onEnd([Self = shared_from_this()](LineStream::End) { Self->fail(); });
  Stream->connect(Opts.Address, [Self = shared_from_this()](bool Connected) {
    if (!Connected)
      return Self->fail();
    std::string Bytes;
    if (Self->isRelayed())
      Bytes = RelayLine::openingFor(Self->Opts.Group, Self->Opts.Instance);
    Self->Opts.Codec->encodeOpen(Bytes, Self->Opts.Group, Self->Opts.Account,
                                 Self->Opts.Instance);
    Self->Stream->start();
    Self->Stream->send(Bytes);
  });
}

void TargetLink::handleLine(std::string_view Line) {
  TargetMessage Message = Opts.Codec->decodeTarget(Line);
  if (!Opened) {
    if (const ErrorMessage *Refused = std::get_if<ErrorMessage>(&Message)) {
      auto Done = std::exchange(OpenDone, nullptr);
      close();
      if (Done)
        Done(Error{.Code = Refused->Code, .Message = Refused->Text});
      return;
    }
    if (!std::holds_alternative<ReadyMessage>(Message))
      return fail();
    Opened = true;
    if (auto Done = std::exchange(OpenDone, nullptr))
      Done(std::nullopt);
    return;
  }
  if (Pending.empty())
    return fail();
  TargetReply &Reply = Pending.front().Reply;
  if (RowMessage *Row = std::get_if<RowMessage>(&Message))
    Reply.Rows.push_back(std::move(Row->Text));
  else if (CompletedMessage *Done = std::get_if<CompletedMessage>(&Message))
    Reply.Receipt = std::move(Done->Receipt);
  else if (ErrorMessage *Refused = std::get_if<ErrorMessage>(&Message))
    Reply.Refused = std::move(*Refused);
  else if (const ReadyMessage *Ready = std::get_if<ReadyMessage>(&Message))
    handleReady(*Ready);
  else
    fail();
}

void TargetLink::handleReady(ReadyMessage Ready) {
  bool HasOneOutcome = Pending.front().Reply.Receipt.has_value() !=
                       Pending.front().Reply.Refused.has_value();
  if (!HasOneOutcome)
    return fail();
  PendingReply Done = std::move(Pending.front());
  Pending.pop_front();
  Done.Reply.Ready = Ready;
  Phase = Ready.Phase;
  std::shared_ptr<TargetLink> KeepAlive = shared_from_this();
  if (Done.Hook)
    Done.Hook(&Done.Reply);
}

void TargetLink::addPending(ReplyHook Hook) {
  PendingReply Next;
  Next.Reply.SentAt = BootClock::now();
  Next.Hook = std::move(Hook);
  Pending.push_back(std::move(Next));
}

void TargetLink::runStatement(std::string_view Id, std::string_view Text,
                              std::optional<LogPosition> MinPosition,
                              ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeStatement(Bytes, Id, Text, MinPosition);
  addPending(std::move(Hook));
  Pending.back().Reply.UsedSlot = true;
  sendLine(Bytes);
}

void TargetLink::begin(bool ReadOnly, std::optional<LogPosition> MinPosition,
                       ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeBegin(Bytes, ReadOnly, MinPosition);
  addPending(std::move(Hook));
  sendLine(Bytes);
}

void TargetLink::sendControl(const std::string &Bytes, ReplyHook Hook) {
  addPending(std::move(Hook));
  sendLine(Bytes);
}

void TargetLink::rollback(ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeRollback(Bytes);
  sendControl(Bytes, std::move(Hook));
}

void TargetLink::askStatus(ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeStatusRequest(Bytes);
  sendControl(Bytes, std::move(Hook));
}

void TargetLink::demote(Term Below, ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeDemote(Bytes, Below);
  sendControl(Bytes, std::move(Hook));
}

void TargetLink::pause(Term NewTerm, ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodePause(Bytes, NewTerm);
  sendControl(Bytes, std::move(Hook));
}

void TargetLink::resume(ReplyHook Hook) {
  std::string Bytes;
  Opts.Codec->encodeResume(Bytes);
  sendControl(Bytes, std::move(Hook));
}

void TargetLink::sendLine(const std::string &Bytes) {
  if (isRelayed())
    Stream->send(Prefix);
  Stream->send(Bytes);
}

void TargetLink::sendSessionSetup(const std::string &Bytes) {
  // If the target refuses this request, the result of the statement after it
  // must not be used.
  addPending([this](const TargetReply *Reply) {
    if (Reply && Reply->Refused)
      fail();
  });
  sendLine(Bytes);
}

void TargetLink::applyValues(const SessionValues &Wanted) {
  if (Values == Wanted)
    return;
  bool HasExtraValues = false;
  for (const auto &[Name, Value] : Values)
    HasExtraValues |= !Wanted.count(Name);
  std::string Bytes;
  if (HasExtraValues) {
    Opts.Codec->encodeReset(Bytes);
    sendSessionSetup(Bytes);
    Values.clear();
    Prepared.clear();
  }
  for (const auto &[Name, Value] : Wanted) {
    auto It = Values.find(Name);
    if (It != Values.end() && It->second == Value)
      continue;
    Bytes.clear();
    Opts.Codec->encodeSetValue(Bytes, Name, Value);
    sendSessionSetup(Bytes);
  }
  Values = Wanted;
}

std::string TargetLink::prepare(bool Writes, const std::string &Template) {
  std::string Name = internal::templateNameFor(Writes, Template);
  if (Prepared.insert(Name).second) {
    std::string Bytes;
    Opts.Codec->encodePrepare(Bytes, Name, Writes, Template);
    sendSessionSetup(Bytes);
  }
  return Name;
}

std::optional<TimePoint> TargetLink::waitingSince() const {
  if (!Opened && Stream->isOpen())
    return OpeningSince;
  if (Pending.empty())
    return std::nullopt;
  return Pending.front().Reply.SentAt;
}

void TargetLink::close() { Stream->close(); }

void TargetLink::fail() {
  std::shared_ptr<TargetLink> KeepAlive = shared_from_this();
  Stream->close();
  if (auto Done = std::exchange(OpenDone, nullptr))
    Done(Error{.Code = ErrorCode::Unreachable,
               .Message = "cannot connect to " + Opts.Address});
  std::deque<PendingReply> Unanswered;
  Unanswered.swap(Pending);
  for (PendingReply &Each : Unanswered)
    if (Each.Hook)
      Each.Hook(nullptr);
  if (auto Hook = std::exchange(FailureHook, nullptr))
    Hook();
}

} // namespace cicadawind
