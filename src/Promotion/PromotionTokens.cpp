// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/PromotionTokens.h"

#include "Documents/JsonParsing.h"
#include "Observability/Log.h"
#include "Platform/ObjectStore.h"
#include "Platform/StoreRevision.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");
/// Kind of the objects in the store that count the claims for each group.
static const char *const TokensKind = "cicadawind-promotions";

/// Number of bits of a token below the era. Tokens of the first two million
/// eras are exact even where they are read as floating-point numbers.
constexpr unsigned CountBits = 32;

static std::uint64_t numberAt(const nlohmann::json &Json, const char *Name) {
  auto It = Json.find(Name);
  bool IsNumber = It != Json.end() && It->is_number_unsigned();
  return IsNumber ? It->get<std::uint64_t>() : 0;
}

static PromotionRecord recordFrom(const nlohmann::json &Json) {
  auto Target = Json.find("target");
  if (Target == Json.end() || !Target->is_string())
    return {.IsKnown = false};
  return {.Claim = numberAt(Json, "decided"),
          .Successor = Target->get<std::string>(),
          .Received = {.WrittenIn = numberAt(Json, "received_term"),
                       .Index = numberAt(Json, "received_index")},
          .Opens = numberAt(Json, "opens_term"),
          .ListRevision = numberAt(Json, "list_revision")};
}

/// Returns what \p Object says of the group. The latest decision is unknown if
/// the object does not record it.
static PromotionTurn turnFrom(const StoredObject &Object) {
  PromotionTurn Out;
  Out.Version = Object.Version;
  nlohmann::json Json = tryParseJson(Object.Value);
  if (!Json.is_object())
    return Out;
  Out.Claims = numberAt(Json, "token");
  Out.Latest = recordFrom(Json);
  // Other programs count claims without a decision, and a store that came back
  // from an older copy has lost the latest one.
  bool HasDecision = Json.contains("opens_term");
  bool IsOfThisEra =
      numberAt(Json, "era") == StoreRevision::unpack(Object.Version).Era;
  if (!Out.Latest.IsKnown || !HasDecision || !IsOfThisEra) {
    Out.Latest = {.IsKnown = false};
    return Out;
  }
  auto Prepared = Json.find("prepared");
  if (Prepared == Json.end() || !Prepared->is_object())
    return Out;
  Out.Prepared = recordFrom(*Prepared);
  if (!Out.Prepared.IsKnown)
    Out.Latest = {.IsKnown = false};
  return Out;
}

static void addRecord(nlohmann::json &Json, const PromotionRecord &Record) {
  Json["decided"] = Record.Claim;
  Json["received_term"] = Record.Received.WrittenIn;
  Json["received_index"] = Record.Received.Index;
  Json["opens_term"] = Record.Opens;
  Json["list_revision"] = Record.ListRevision;
}

static std::string encode(const PromotionTurn &Turn, const std::string &Vm) {
  nlohmann::json Json{{"token", Turn.Claims},
                      {"holder", Vm},
                      {"target", Turn.Latest.Successor},
                      {"era", StoreRevision::unpack(Turn.Version).Era}};
  if (!Turn.Latest.IsKnown)
    return Json.dump();
  addRecord(Json, Turn.Latest);
  if (Turn.Prepared.Successor.empty())
    return Json.dump();
  nlohmann::json &Prepared = Json["prepared"];
  Prepared["target"] = Turn.Prepared.Successor;
  addRecord(Prepared, Turn.Prepared);
  return Json.dump();
}

static Error writeError(const WriteResult &Written) {
  bool IsConflict = Written.Outcome == WriteOutcome::Conflict;
  return Error{
      .Code = IsConflict ? ErrorCode::Conflict : ErrorCode::StoreUnavailable,
      .Message = IsConflict ? "another VM claimed a token at the same time"
                 : Written.Message.empty() ? "no reply from the store"
                                           : Written.Message};
}

} // namespace internal

bool PromotionTokens::mayReserve(const std::string &Group,
                                 TimePoint Now) const {
  if (Now - StartedAt < Opts.ReservationDelay)
    return false;
  auto It = Groups.find(Group);
  return It == Groups.end() ||
         (!It->second.Reserving && Now >= It->second.NextReservation);
}

const PromotionTurn *PromotionTokens::reserved(const std::string &Group) const {
  auto It = Groups.find(Group);
  bool Holds = It != Groups.end() && It->second.Reserved;
  return Holds ? &*It->second.Reserved : nullptr;
}

void PromotionTokens::dropBelow(const std::string &Group, std::uint64_t Token) {
  GroupState &State = Groups[Group];
  if (State.Reserved && *State.Reserved->Reserved < Token)
    State.Reserved.reset();
}

boost::asio::awaitable<void> PromotionTokens::reserve(std::string Group,
                                                      ReservationPlan Plan) {
  TimePoint Now = BootClock::now();
  if (!mayReserve(Group, Now))
    co_return;
  Groups[Group].Reserving = true;
  Groups[Group].NextReservation = Now + Opts.ReservationInterval;
  std::uint64_t Attempts = Groups[Group].Attempts;
  Result<PromotionTurn> Read = co_await readTurn(Group, Opts.StoreTimeout);
  // A promotion that began in the meantime may use the reserved token, or order
  // a claim that counts as not ordered here.
  bool MayHaveClaimed = Groups[Group].Attempts != Attempts;
  // Retried after ReservationInterval. Not logged, since the store client
  // counts failed calls.
  if (!errorOf(Read) && !MayHaveClaimed)
    co_await reserveAfter(Group, valueOf(Read), std::move(Plan));
  Groups[Group].Reserving = false;
}

boost::asio::awaitable<void>
PromotionTokens::reserveAfter(std::string Group, PromotionTurn Turn,
                              ReservationPlan Plan) {
  SuccessionReservation Planned{.Latest = Turn.Latest,
                                .Prepared = Turn.Prepared};
  if (Plan) {
    std::optional<SuccessionReservation> Out = Plan(Turn);
    if (!Out)
      co_return;
    Planned = *Out;
  }
  // The store may name another target from now on, whether it replies or not.
  dropReserved(Group);
  Result<PromotionTurn> Claimed =
      co_await claimNext(Group, Turn, Planned.Latest, Planned.Prepared);
  if (errorOf(Claimed))
    co_return;
  GroupState &State = Groups[Group];
  State.Reserved = valueOf(Claimed);
  if (Plan) {
    PromotionTurn &Reserved = *State.Reserved;
    State.Own = OwnClaim{.Latest = Reserved.Latest,
                         .Prepared = Reserved.Prepared,
                         .LatestInstead = Reserved.Latest,
                         .PreparedInstead = Turn.Prepared};
    Reserved.Named = std::exchange(Reserved.Prepared, Turn.Prepared);
    Reserved.Replaces = Planned.Replaces;
  }
  internal::Logger.info("fencing token reserved",
                        {{"group", Group},
                         {"token", std::to_string(*State.Reserved->Reserved)},
                         {"latest_successor", State.Reserved->Latest.Successor},
                         {"named", State.Reserved->Named.Successor}});
}

boost::asio::awaitable<Result<PromotionTurn>>
PromotionTokens::begin(std::string Group, Source From) {
  ++Groups[Group].Attempts;
  std::optional<PromotionTurn> Reserved;
  if (From != Source::StoreOnly)
    Reserved = Groups[Group].Reserved;
  if (Reserved && From == Source::ReservedFirst)
    co_return *Reserved;
  Result<PromotionTurn> Read = co_await readTurn(Group, Opts.StoreTimeout);
  if (errorOf(Read) && Reserved)
    co_return *Reserved;
  co_return Read;
}

boost::asio::awaitable<Result<std::uint64_t>>
PromotionTokens::take(std::string Group) {
  Result<PromotionTurn> Turn = co_await begin(Group, Source::ReservedFirst);
  dropReserved(Group);
  if (!errorOf(Turn) && !valueOf(Turn).Reserved)
    Turn = co_await claimNext(Group, valueOf(Turn), valueOf(Turn).Latest,
                              valueOf(Turn).Prepared);
  if (const Error *E = errorOf(Turn))
    co_return *E;
  co_return *valueOf(Turn).Reserved;
}

/// Returns the token of the claim number \p Count, which replaced the object's
/// version \p Before, or created the object if that is 0, and got the version
/// \p Written.
static Result<std::uint64_t>
tokenOf(std::uint64_t Before, std::uint64_t Written, std::uint64_t Count) {
  std::uint64_t Era = StoreRevision::unpack(Written).Era;
  // In a later era the object that was replaced may be another one with the
  // same version, so another VM may have the same count.
  if (Before != 0 && StoreRevision::unpack(Before).Era != Era)
    return Error{.Code = ErrorCode::Conflict,
                 .Message = "the store came back from an older copy"};
  return Era << internal::CountBits | Count;
}

boost::asio::awaitable<Result<PromotionTurn>>
PromotionTokens::readTurn(std::string Group, Duration Timeout) {
  Result<StoredObject> Stored =
      co_await Store.read(internal::TokensKind, Group, Timeout);
  if (const Error *E = errorOf(Stored))
    co_return *E;
  PromotionTurn Turn = internal::turnFrom(valueOf(Stored));
  const std::optional<OwnClaim> &Own = Groups[Group].Own;
  if (Own && Own->Latest == Turn.Latest && Own->Prepared == Turn.Prepared) {
    Turn.Latest = Own->LatestInstead;
    Turn.Prepared = Own->PreparedInstead;
  }
  co_return Turn;
}

boost::asio::awaitable<WriteResult>
PromotionTokens::write(std::string Group, const PromotionTurn &Turn,
                       Duration Timeout) {
  return Store.write(internal::TokensKind, Group,
                     internal::encode(Turn, Opts.Vm), Turn.Version, Timeout);
}

boost::asio::awaitable<Result<PromotionTurn>>
PromotionTokens::claimNext(std::string Group, PromotionTurn Turn,
                           PromotionRecord Latest, PromotionRecord Prepared) {
  std::uint64_t Before = Turn.Version;
  ++Turn.Claims;
  if (Latest != Turn.Latest)
    Latest.Claim = Turn.Claims;
  if (Prepared != Turn.Prepared)
    Prepared.Claim = Turn.Claims;
  Turn.Latest = Latest;
  Turn.Prepared = Prepared;
  // If the store does not reply, it is unknown whether the claim was written,
  // so this token is not used. The next attempt reads the last token again.
  WriteResult Written = co_await write(Group, Turn, Opts.StoreTimeout);
  if (Written.Outcome != WriteOutcome::Accepted)
    co_return internal::writeError(Written);
  Result<std::uint64_t> Token = tokenOf(Before, Written.Version, Turn.Claims);
  if (const Error *E = errorOf(Token))
    co_return *E;
  Turn.Reserved = valueOf(Token);
  Turn.Version = Written.Version;
  co_return Turn;
}

boost::asio::awaitable<WriteResult>
PromotionTokens::recordUnderReserved(std::string Group, PromotionTurn Turn,
                                     PromotionRecord Decision,
                                     bool MayUseNamed) {
  // A write without a response may take effect, and then another target may not
  // be promoted under this token. So the store is tried by a read first.
  if (MayUseNamed) {
    Result<PromotionTurn> Read = co_await readTurn(Group, Opts.RecordTimeout);
    if (const Error *E = errorOf(Read))
      co_return WriteResult{.Outcome = WriteOutcome::NotWritten,
                            .Message = E->Message};
  }
  Turn.Latest = std::move(Decision);
  Turn.Prepared = {};
  WriteResult Written = co_await write(Group, Turn, Opts.StoreTimeout);
  // In a later era the object may be another one with the same version, and
  // other VMs have got higher tokens.
  if (Written.Outcome == WriteOutcome::Accepted &&
      StoreRevision::unpack(Written.Version).Era !=
          StoreRevision::unpack(Turn.Version).Era)
    Written.Outcome = WriteOutcome::Conflict;
  co_return Written;
}

boost::asio::awaitable<Result<PromotionClaim>>
PromotionTokens::claim(std::string Group, PromotionTurn Turn,
                       PromotionRecord Decision, bool MayUseNamed) {
  ++Groups[Group].Attempts;
  const PromotionTurn *Held = reserved(Group);
  bool IsHeld = Held && Held->Reserved == Turn.Reserved;
  // The token that is claimed or used now is the highest of this VM.
  dropReserved(Group);
  if (!Turn.Reserved) {
    Result<PromotionTurn> Next =
        co_await claimNext(Group, Turn, Decision, PromotionRecord());
    if (const Error *E = errorOf(Next))
      co_return *E;
    Decision = valueOf(Next).Latest;
    Groups[Group].Own = OwnClaim{.Latest = Decision,
                                 .LatestInstead = Turn.Latest,
                                 .PreparedInstead = Turn.Prepared};
    co_return PromotionClaim{.Token = *valueOf(Next).Reserved,
                             .Decision = Decision};
  }
  if (!IsHeld)
    co_return Error{.Code = ErrorCode::Conflict,
                    .Message = "the reserved token was replaced"};
  PromotionClaim ForNamed{.Token = *Turn.Reserved, .Decision = Turn.Named};
  if (MayUseNamed && Decision.Successor == Turn.Named.Successor)
    co_return ForNamed;
  Decision.Claim = Turn.Claims;
  WriteResult Written =
      co_await recordUnderReserved(Group, Turn, Decision, MayUseNamed);
  if (Written.Outcome == WriteOutcome::NotWritten && MayUseNamed) {
    internal::Logger.info("decision not recorded in the store",
                          {{"group", Group}, {"why", Written.Message}});
    co_return ForNamed;
  }
  if (Written.Outcome != WriteOutcome::Accepted)
    co_return internal::writeError(Written);
  Groups[Group].Own = OwnClaim{.Latest = Decision,
                               .LatestInstead = Turn.Latest,
                               .PreparedInstead = Turn.Prepared};
  co_return PromotionClaim{.Token = *Turn.Reserved, .Decision = Decision};
}

} // namespace cicadawind
