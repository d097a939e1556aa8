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

/// Returns what \p Object says of the group: the number of claims and the
/// latest decision, which is unknown if the object does not record it.
static PromotionTurn turnFrom(const StoredObject &Object) {
  PromotionTurn Out;
  Out.Version = Object.Version;
  nlohmann::json Json = tryParseJson(Object.Value);
  if (!Json.is_object())
    return Out;
  auto NumberAt = [&Json](const char *Name) -> std::uint64_t {
    auto It = Json.find(Name);
    bool IsNumber = It != Json.end() && It->is_number_unsigned();
    return IsNumber ? It->get<std::uint64_t>() : 0;
  };
  Out.Claims = NumberAt("token");
  auto Target = Json.find("target");
  Out.Latest.IsKnown = Target != Json.end() && Target->is_string();
  if (!Out.Latest.IsKnown)
    return Out;
  Out.Latest = {.Claim = NumberAt("decided"),
                .Successor = Target->get<std::string>(),
                .Received = {.WrittenIn = NumberAt("received_term"),
                             .Index = NumberAt("received_index")},
                .Opens = NumberAt("opens_term"),
                .ListRevision = NumberAt("list_revision")};
  // Other programs count claims without a decision, and a store that came back
  // from an older copy has lost the latest one.
  bool HasDecision = Json.contains("opens_term");
  bool IsOfThisEra =
      NumberAt("era") == StoreRevision::unpack(Object.Version).Era;
  if (!HasDecision || !IsOfThisEra)
    Out.Latest = PromotionRecord{.IsKnown = false};
  return Out;
}

static std::string encode(const PromotionTurn &Turn, const std::string &Vm) {
  const PromotionRecord &Latest = Turn.Latest;
  nlohmann::json Json{{"token", Turn.Claims},
                      {"holder", Vm},
                      {"target", Latest.Successor},
                      {"era", StoreRevision::unpack(Turn.Version).Era}};
  if (!Latest.IsKnown)
    return Json.dump();
  Json["decided"] = Latest.Claim;
  Json["received_term"] = Latest.Received.WrittenIn;
  Json["received_index"] = Latest.Received.Index;
  Json["opens_term"] = Latest.Opens;
  Json["list_revision"] = Latest.ListRevision;
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

bool PromotionTokens::needsReservation(const std::string &Group,
                                       TimePoint Now) const {
  if (Now - StartedAt < Opts.ReservationDelay)
    return false;
  auto It = Groups.find(Group);
  if (It == Groups.end())
    return true;
  const GroupState &State = It->second;
  return !State.Reserved && !State.Reserving && Now >= State.NextReservation;
}

void PromotionTokens::dropBelow(const std::string &Group, std::uint64_t Token) {
  GroupState &State = Groups[Group];
  if (State.Reserved && *State.Reserved->Reserved < Token)
    State.Reserved.reset();
}

boost::asio::awaitable<void> PromotionTokens::reserve(std::string Group) {
  TimePoint Now = BootClock::now();
  if (!needsReservation(Group, Now))
    co_return;
  Groups[Group].Reserving = true;
  Groups[Group].NextReservation = Now + Opts.ReservationInterval;
  Result<PromotionTurn> Claimed = co_await readTurn(Group);
  if (!errorOf(Claimed))
    Claimed =
        co_await claimNext(Group, valueOf(Claimed), valueOf(Claimed).Latest);
  GroupState &State = Groups[Group];
  State.Reserving = false;
  // Retried after ReservationInterval. Not logged, since the store client
  // counts failed calls.
  if (errorOf(Claimed))
    co_return;
  State.Reserved = valueOf(Claimed);
  internal::Logger.info(
      "fencing token reserved",
      {{"group", Group},
       {"token", std::to_string(*State.Reserved->Reserved)},
       {"latest_successor", State.Reserved->Latest.Successor}});
}

boost::asio::awaitable<Result<PromotionTurn>>
PromotionTokens::begin(std::string Group, Source From) {
  std::optional<PromotionTurn> Reserved;
  if (From != Source::StoreOnly)
    Reserved = Groups[Group].Reserved;
  if (Reserved && From == Source::ReservedFirst)
    co_return *Reserved;
  Result<PromotionTurn> Read = co_await readTurn(Group);
  if (errorOf(Read) && Reserved)
    co_return *Reserved;
  co_return Read;
}

boost::asio::awaitable<Result<std::uint64_t>>
PromotionTokens::take(std::string Group) {
  Result<PromotionTurn> Turn = co_await begin(Group, Source::ReservedFirst);
  dropReserved(Group);
  if (!errorOf(Turn) && !valueOf(Turn).Reserved)
    Turn = co_await claimNext(Group, valueOf(Turn), valueOf(Turn).Latest);
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
PromotionTokens::readTurn(std::string Group) {
  Result<StoredObject> Stored =
      co_await Store.read(internal::TokensKind, Group, Opts.StoreTimeout);
  if (const Error *E = errorOf(Stored))
    co_return *E;
  PromotionTurn Turn = internal::turnFrom(valueOf(Stored));
  const PromotionRecord &Own = Groups[Group].Unrecorded;
  if (Own.Claim > Turn.Latest.Claim)
    Turn.Latest = Own;
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
                           PromotionRecord Decision) {
  std::uint64_t Before = Turn.Version;
  ++Turn.Claims;
  if (Decision != Turn.Latest)
    Decision.Claim = Turn.Claims;
  Turn.Latest = Decision;
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

boost::asio::awaitable<Result<PromotionClaim>>
PromotionTokens::claim(std::string Group, PromotionTurn Turn,
                       PromotionRecord Decision) {
  // The token that is claimed or used now is the highest of this VM.
  dropReserved(Group);
  if (!Turn.Reserved) {
    Result<PromotionTurn> Next = co_await claimNext(Group, Turn, Decision);
    if (const Error *E = errorOf(Next))
      co_return *E;
    co_return PromotionClaim{.Token = *valueOf(Next).Reserved,
                             .Decision = valueOf(Next).Latest};
  }
  Decision.Claim = Turn.Claims;
  Turn.Latest = Decision;
  WriteResult Written = co_await write(Group, Turn, Opts.RecordTimeout);
  if (Written.Outcome == WriteOutcome::Conflict)
    co_return internal::writeError(Written);
  if (Written.Outcome != WriteOutcome::Accepted) {
    Groups[Group].Unrecorded = Decision;
    internal::Logger.info("decision not recorded in the store",
                          {{"group", Group}, {"why", Written.Message}});
  }
  co_return PromotionClaim{.Token = *Turn.Reserved, .Decision = Decision};
}

} // namespace cicadawind
