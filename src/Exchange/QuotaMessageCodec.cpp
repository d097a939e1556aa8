#include "Exchange/QuotaMessageCodec.h"

#include "Quotas/LimitShares.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

/// Maximum time in a message; longer ones do not occur.
constexpr std::int64_t MaxRetryMs = 3600000;

// Names are short because these messages are the most frequent ones.

static Json quotaJson(const IssuerClaim &Message) {
  return {{"t", "iclaim"},          {"d", Message.FailureDomain},
          {"p", Message.Partition}, {"i", Message.Incarnation},
          {"n", Message.Number},    {"size", Message.DomainSize}};
}

static Json quotaJson(const IssuerVote &Message) {
  return {{"t", "ivote"},
          {"p", Message.Partition},
          {"i", Message.Incarnation},
          {"n", Message.Number},
          {"yes", Message.Granted},
          {"idle", Message.Idle.count()}};
}

static Json quotaJson(const IssuerRelease &Message) {
  return {{"t", "iend"},
          {"d", Message.FailureDomain},
          {"p", Message.Partition},
          {"i", Message.Incarnation},
          {"n", Message.Number}};
}

static Json quotaJson(const PermitRequest &Message) {
  Json Items = Json::array();
  for (const PermitRequest::Item &Each : Message.Items)
    Items.push_back(Json::array({Each.Account, Each.Count}));
  return {{"t", "permit?"},
          {"p", Message.Partition},
          {"n", Message.Number},
          {"items", std::move(Items)}};
}

static Json quotaJson(const PermitReply &Message) {
  Json Items = Json::array();
  for (const PermitReply::Item &Each : Message.Items)
    Items.push_back(Json::array({Each.Granted, Each.RetryAfter.count()}));
  return {{"t", "permit"},
          {"n", Message.Number},
          {"yes", Message.IsIssuer},
          {"issuer", Message.Issuer},
          {"items", std::move(Items)}};
}

/// Returns the unsigned number \p In; throws if it is above \p Max.
static std::uint64_t numberFrom(const Json &In, std::uint64_t Max) {
  if (!In.is_number_unsigned() || In.get<std::uint64_t>() > Max)
    throw std::invalid_argument("number out of range");
  return In.get<std::uint64_t>();
}

static std::uint64_t numberFrom(const Json &In) {
  return numberFrom(In, std::numeric_limits<std::uint64_t>::max());
}

static unsigned partitionFrom(const Json &In) {
  return static_cast<unsigned>(numberFrom(In.at("p"), QuotaPartitions - 1));
}

static const Json &itemsFrom(const Json &In) {
  const Json &Items = In.at("items");
  if (!Items.is_array() || Items.size() > MaxPermitItems)
    throw std::invalid_argument("too many items");
  return Items;
}

static IssuerClaim claimFrom(const Json &In) {
  return {.FailureDomain = In.at("d").get<std::string>(),
          .Partition = partitionFrom(In),
          .Incarnation = numberFrom(In.at("i")),
          .Number = numberFrom(In.at("n")),
          .DomainSize = numberFrom(In.at("size"))};
}

/// Longest time that is accepted, so that no peer makes times overflow.
constexpr Millis MaxIdle = std::chrono::hours(24);

static Millis idleFrom(const Json &In) {
  Millis Idle(In.get<std::int64_t>());
  if (Idle < Millis::zero())
    throw std::invalid_argument("a negative time");
  return std::min(Idle, MaxIdle);
}

static IssuerVote voteFrom(const Json &In) {
  return {.Partition = partitionFrom(In),
          .Incarnation = numberFrom(In.at("i")),
          .Number = numberFrom(In.at("n")),
          .Granted = In.at("yes").get<bool>(),
          .Idle = idleFrom(In.at("idle"))};
}

static IssuerRelease releaseFrom(const Json &In) {
  return {.FailureDomain = In.at("d").get<std::string>(),
          .Partition = partitionFrom(In),
          .Incarnation = numberFrom(In.at("i")),
          .Number = numberFrom(In.at("n"))};
}

static PermitRequest permitRequestFrom(const Json &In) {
  PermitRequest Out{.Partition = partitionFrom(In),
                    .Number = numberFrom(In.at("n"))};
  for (const Json &Each : itemsFrom(In))
    Out.Items.push_back({.Account = Each.at(0).get<std::string>(),
                         .Count = static_cast<unsigned>(
                             numberFrom(Each.at(1), MaxPermitsOfItem))});
  return Out;
}

static PermitReply permitReplyFrom(const Json &In) {
  PermitReply Out{.Number = numberFrom(In.at("n")),
                  .IsIssuer = In.at("yes").get<bool>(),
                  .Issuer = In.at("issuer").get<std::string>()};
  for (const Json &Each : itemsFrom(In))
    Out.Items.push_back(
        {.Granted =
             static_cast<unsigned>(numberFrom(Each.at(0), MaxPermitsOfItem)),
         .RetryAfter = Millis(numberFrom(Each.at(1), MaxRetryMs))});
  return Out;
}

} // namespace internal

nlohmann::json toJson(const QuotaMessage &Message) {
  return std::visit([](const auto &Each) { return internal::quotaJson(Each); },
                    Message);
}

std::optional<QuotaMessage> quotaMessageFrom(const nlohmann::json &In) {
  std::string Type = In.at("t").get<std::string>();
  if (Type == "iclaim")
    return internal::claimFrom(In);
  if (Type == "ivote")
    return internal::voteFrom(In);
  if (Type == "iend")
    return internal::releaseFrom(In);
  if (Type == "permit?")
    return internal::permitRequestFrom(In);
  if (Type == "permit")
    return internal::permitReplyFrom(In);
  return std::nullopt;
}

} // namespace cicadawind
