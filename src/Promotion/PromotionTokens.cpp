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

/// Returns the number of claims that \p Object records; 0 if it records none.
static std::uint64_t claimsIn(const StoredObject &Object) {
  nlohmann::json Json = tryParseJson(Object.Value);
  if (!Json.is_object() || !Json.contains("token") ||
      !Json["token"].is_number_unsigned())
    return 0;
  return Json["token"].get<std::uint64_t>();
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
  if (State.Reserved && *State.Reserved < Token)
    State.Reserved.reset();
}

boost::asio::awaitable<void> PromotionTokens::reserve(std::string Group) {
  TimePoint Now = BootClock::now();
  if (!needsReservation(Group, Now))
    co_return;
  Groups[Group].Reserving = true;
  Groups[Group].NextReservation = Now + Opts.ReservationInterval;
  Result<std::uint64_t> Claimed = co_await claim(Group, "");
  GroupState &State = Groups[Group];
  State.Reserving = false;
  // Retried after ReservationInterval. Not logged, since the store client
  // counts failed calls.
  if (errorOf(Claimed))
    co_return;
  State.Reserved = valueOf(Claimed);
  internal::Logger.info(
      "fencing token reserved",
      {{"group", Group}, {"token", std::to_string(*State.Reserved)}});
}

boost::asio::awaitable<Result<std::uint64_t>>
PromotionTokens::take(std::string Group, std::string Instance) {
  std::optional<std::uint64_t> Reserved =
      std::exchange(Groups[Group].Reserved, {});
  if (Reserved)
    co_return *Reserved;
  co_return co_await claim(Group, Instance);
}

/// Returns the token of the claim number \p Count, which replaced \p Before and
/// got the version \p Written.
static Result<std::uint64_t> tokenOf(const StoredObject &Before,
                                     std::uint64_t Written,
                                     std::uint64_t Count) {
  std::uint64_t Era = StoreRevision::unpack(Written).Era;
  // In a later era the object that was replaced may be another one with the
  // same version, so another VM may have the same count.
  if (Before.exists() && StoreRevision::unpack(Before.Version).Era != Era)
    return Error{.Code = ErrorCode::Conflict,
                 .Message = "the store came back from an older copy"};
  return Era << internal::CountBits | Count;
}

boost::asio::awaitable<Result<std::uint64_t>>
PromotionTokens::claim(std::string Group, std::string Instance) {
  Result<StoredObject> Stored =
      co_await Store.read(internal::TokensKind, Group, Opts.StoreTimeout);
  if (const Error *E = errorOf(Stored))
    co_return *E;
  const StoredObject &Current = valueOf(Stored);
  std::uint64_t Count = internal::claimsIn(Current) + 1;
  nlohmann::json Value{
      {"token", Count}, {"holder", Opts.Vm}, {"target", Instance}};
  WriteResult Written =
      co_await Store.write(internal::TokensKind, Group, Value.dump(),
                           Current.Version, Opts.StoreTimeout);
  if (Written.Outcome == WriteOutcome::Accepted)
    co_return tokenOf(Current, Written.Version, Count);
  // If the store does not reply, it is unknown whether the claim was written,
  // so this token is not used. The next attempt reads the last token again.
  bool IsConflict = Written.Outcome == WriteOutcome::Conflict;
  co_return Error{
      .Code = IsConflict ? ErrorCode::Conflict : ErrorCode::StoreUnavailable,
      .Message = IsConflict ? "another VM claimed first" : Written.Message};
}

} // namespace cicadawind
