#include "Exchange/PeerMessage.h"

#include "Documents/JsonParsing.h"
#include "Exchange/QuotaMessageCodec.h"
#include "Membership/VmEntryCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

/// Encoding of a ContactAge: four bytes of the hash, the lowest first, and one
/// byte of the age in units of AgeUnit, rounded up.
constexpr std::size_t ContactAgeBytes = 5;
constexpr Millis AgeUnit(250);
constexpr int MaxAgeUnits = 255;

static Json toJson(const std::vector<ContactAge> &Ages) {
  std::vector<std::uint8_t> Bytes;
  Bytes.reserve(Ages.size() * ContactAgeBytes);
  for (const ContactAge &Each : Ages) {
    for (unsigned Shift = 0; Shift < 32; Shift += 8)
      Bytes.push_back(static_cast<std::uint8_t>(Each.VmHash >> Shift));
    auto Units = (Each.Age + AgeUnit - Millis(1)) / AgeUnit;
    Bytes.push_back(
        static_cast<std::uint8_t>(std::clamp<long>(Units, 0, MaxAgeUnits)));
  }
  return Json::binary(std::move(Bytes));
}

static std::vector<ContactAge> contactAgesFrom(const Json &In) {
  const auto &Bytes = In.get_binary();
  if (Bytes.size() % ContactAgeBytes != 0)
    throw std::invalid_argument("contact ages of a wrong size");
  std::vector<ContactAge> Out;
  for (std::size_t I = 0; I < Bytes.size(); I += ContactAgeBytes) {
    ContactAge Each;
    for (unsigned B = 0; B < 4; ++B)
      Each.VmHash |= static_cast<std::uint32_t>(Bytes[I + B]) << (8 * B);
    Each.Age = Bytes[I + 4] * AgeUnit;
    // The largest value also stands for ages that do not fit.
    if (Bytes[I + 4] < MaxAgeUnits)
      Out.push_back(Each);
  }
  return Out;
}

static Json toJson(const PeerHello &Message) {
  Json Out{{"t", "hello"},
           {"self", cicadawind::toJson(Message.Self)},
           {"config", Message.ConfigVersion},
           {"targets", Message.TargetsRevision},
           {"targets_hash", Message.TargetsHash},
           {"reads", toJson(Message.StoreReads)},
           {"others", Json::array()},
           {"ages", toJson(Message.Ages)}};
  for (const FleetMention &Each : Message.Others) {
    Json Entry = cicadawind::toJson(Each.Entry);
    Entry["contact_age"] = Each.ContactAge.count();
    Out["others"].push_back(std::move(Entry));
  }
  if (Message.WantsReply)
    Out["reply"] = true;
  return Out;
}

static Json toJson(const PrimaryQuery &Message) {
  Json Out{{"t", "ask"},
           {"from", Message.From},
           {"n", Message.Number},
           {"group", Message.Group},
           {"instance", Message.Instance}};
  if (Message.Scope != EvidenceScope::Own)
    Out["scope"] = static_cast<int>(Message.Scope);
  return Out;
}

static Json toJson(const std::vector<ReportedEvidence> &Items) {
  Json Out = Json::array();
  for (const ReportedEvidence &Each : Items) {
    Json Item = Json::array({Each.Vm, Each.Age.count(), Each.ReachesDirectly});
    if (Each.ContactAge)
      Item.push_back(Each.ContactAge->count());
    Out.push_back(std::move(Item));
  }
  return Out;
}

static Json toJson(const PrimaryReport &Message) {
  Json Out{{"t", "say"},
           {"from", Message.From},
           {"n", Message.Number},
           {"group", Message.Group},
           {"reaches", Message.ReachesDirectly},
           {"primary", Message.Primary},
           {"term", Message.LogEnd.WrittenIn},
           {"index", Message.LogEnd.Index},
           {"age", Message.ProofAge.count()}};
  if (Message.ContactAge)
    Out["heard"] = Message.ContactAge->count();
  if (Message.PassesOn) {
    Out["others"] = toJson(Message.PassedOn);
    Out["held"] = Message.Held.count();
  }
  return Out;
}

static Json toJson(const PromotionNotice &Message) {
  return Json{{"t", "act"},
              {"from", Message.From},
              {"group", Message.Group},
              {"token", Message.Token}};
}

static Json toJson(const LeaseQuery &Message) {
  Json Items = Json::array();
  for (const LeaseQuery::Item &Each : Message.Items)
    Items.push_back(Json::array({Each.Group, Each.Leading}));
  return Json{{"t", "lease?"},
              {"from", Message.From},
              {"n", Message.Number},
              {"items", std::move(Items)}};
}

static Json toJson(const LeaseAnswer &Message) {
  Json Items = Json::array();
  for (const LeaseAnswer::Item &Each : Message.Items) {
    Json Item = Json::array({static_cast<int>(Each.Vote)});
    if (Each.EvidenceAge) {
      Item.push_back(Each.EvidenceAge->count());
      Item.push_back(Each.IsOfAllReplicas);
    }
    Items.push_back(std::move(Item));
  }
  return Json{{"t", "lease"},
              {"from", Message.From},
              {"n", Message.Number},
              {"items", std::move(Items)}};
}

static Json toJson(const ProposalRequest &Message) {
  return Json{{"t", "propose"},
              {"from", Message.Proposal.Holder},
              {"n", Message.Number},
              {"group", Message.Group},
              {"token", Message.Proposal.Token},
              {"term", Message.Proposal.NewTerm},
              {"instance", Message.Proposal.Successor},
              {"kind", static_cast<int>(Message.Proposal.Kind)}};
}

static Json toJson(const ProposalAnswer &Message) {
  const PromotionVote &Vote = Message.Vote;
  return Json{{"t", "vote"},
              {"from", Message.From},
              {"n", Message.Number},
              {"granted", Vote.Granted},
              {"gave_up", Vote.GaveUp},
              {"reaches", Vote.ReachesPrimary},
              {"counts", Vote.Counts},
              {"remembers", Vote.RemembersOrders},
              {"token", Vote.HighestToken},
              {"known", Vote.KnownTerm},
              {"named", Vote.NamedTerm},
              {"pending", Vote.PendingSuccessor},
              {"pending_token", Vote.PendingToken}};
}

static Json toJson(const ProposalEnd &Message) {
  return Json{{"t", "end"},
              {"from", Message.From},
              {"group", Message.Group},
              {"token", Message.Token},
              {"end", static_cast<int>(Message.End)},
              {"term", Message.Leading},
              {"settled", Message.IsSettled}};
}

static Json toJson(const PeerQuotaMessage &Message) {
  Json Out = cicadawind::toJson(Message.Message);
  Out["from"] = Message.From;
  return Out;
}

static LeaseQuery leaseQueryFrom(const Json &In) {
  LeaseQuery Out;
  Out.From = In.at("from").get<std::string>();
  Out.Number = In.at("n").get<std::uint64_t>();
  for (const Json &Each : In.at("items"))
    Out.Items.push_back({.Group = Each.at(0).get<std::string>(),
                         .Leading = Each.at(1).get<Term>()});
  return Out;
}

/// Returns the value of an enumeration that has \p Count values.
template <class Enum> static Enum enumFrom(const Json &In, int Count) {
  int Value = In.get<int>();
  if (Value < 0 || Value >= Count)
    throw std::invalid_argument("unknown value");
  return static_cast<Enum>(Value);
}

static LeaseAnswer leaseAnswerFrom(const Json &In) {
  constexpr int VoteCount = 3;
  constexpr std::size_t EvidenceItemSize = 3;
  LeaseAnswer Out;
  Out.From = In.at("from").get<std::string>();
  Out.Number = In.at("n").get<std::uint64_t>();
  for (const Json &Each : In.at("items")) {
    LeaseAnswer::Item Item;
    Item.Vote = enumFrom<LeaseVote>(Each.at(0), VoteCount);
    if (Each.size() == EvidenceItemSize) {
      Item.EvidenceAge = Millis(Each.at(1).get<std::int64_t>());
      Item.IsOfAllReplicas = Each.at(2).get<bool>();
    }
    Out.Items.push_back(Item);
  }
  return Out;
}

static ProposalRequest proposalRequestFrom(const Json &In) {
  constexpr int KindCount = 3;
  ProposalRequest Out;
  Out.Number = In.at("n").get<std::uint64_t>();
  Out.Group = In.at("group").get<std::string>();
  Out.Proposal.Holder = In.at("from").get<std::string>();
  Out.Proposal.Token = In.at("token").get<std::uint64_t>();
  Out.Proposal.NewTerm = In.at("term").get<Term>();
  Out.Proposal.Successor = In.at("instance").get<std::string>();
  Out.Proposal.Kind = enumFrom<ProposalKind>(In.at("kind"), KindCount);
  return Out;
}

static ProposalAnswer proposalAnswerFrom(const Json &In) {
  ProposalAnswer Out;
  Out.From = In.at("from").get<std::string>();
  Out.Number = In.at("n").get<std::uint64_t>();
  Out.Vote.Granted = In.at("granted").get<bool>();
  Out.Vote.GaveUp = In.at("gave_up").get<bool>();
  Out.Vote.ReachesPrimary = In.at("reaches").get<bool>();
  Out.Vote.Counts = In.at("counts").get<bool>();
  Out.Vote.RemembersOrders = In.at("remembers").get<bool>();
  Out.Vote.HighestToken = In.at("token").get<std::uint64_t>();
  Out.Vote.KnownTerm = In.at("known").get<Term>();
  Out.Vote.NamedTerm = In.at("named").get<Term>();
  Out.Vote.PendingSuccessor = In.at("pending").get<std::string>();
  Out.Vote.PendingToken = In.at("pending_token").get<std::uint64_t>();
  return Out;
}

static ProposalEnd proposalEndFrom(const Json &In) {
  constexpr int OutcomeCount = 4;
  ProposalEnd Out;
  Out.From = In.at("from").get<std::string>();
  Out.Group = In.at("group").get<std::string>();
  Out.Token = In.at("token").get<std::uint64_t>();
  Out.End = enumFrom<ProposalEnd::Outcome>(In.at("end"), OutcomeCount);
  Out.Leading = In.at("term").get<Term>();
  Out.IsSettled = In.at("settled").get<bool>();
  return Out;
}

/// Age of a contact in the hello of a release that does not send it: no VM
/// counts as live after that time.
constexpr Millis UnknownAge = std::chrono::hours(1);

static PeerHello helloFrom(const Json &In) {
  PeerHello Out;
  Out.Self = vmEntryFrom(In.at("self"));
  Out.ConfigVersion = In.at("config").get<std::uint64_t>();
  Out.TargetsRevision = In.at("targets").get<std::uint64_t>();
  for (const Json &Each : In.at("others"))
    Out.Others.push_back(
        {.Entry = vmEntryFrom(Each),
         .ContactAge = Millis(Each.value("contact_age", UnknownAge.count()))});
  Out.TargetsHash = In.value("targets_hash", std::uint64_t{0});
  if (In.contains("reads"))
    Out.StoreReads = contactAgesFrom(In["reads"]);
  if (In.contains("ages"))
    Out.Ages = contactAgesFrom(In["ages"]);
  Out.WantsReply = In.value("reply", false);
  return Out;
}

/// Returns the scope in \p In; Own if there is none or a later release's.
static EvidenceScope scopeFrom(const Json &In) {
  int Scope = In.value("scope", 0);
  if (Scope == static_cast<int>(EvidenceScope::Region))
    return EvidenceScope::Region;
  if (Scope == static_cast<int>(EvidenceScope::OtherRegions))
    return EvidenceScope::OtherRegions;
  return EvidenceScope::Own;
}

static std::vector<ReportedEvidence> evidenceFrom(const Json &In) {
  constexpr std::size_t SizeWithContact = 4;
  std::vector<ReportedEvidence> Out;
  for (const Json &Each : In) {
    ReportedEvidence Item{.Vm = Each.at(0).get<std::string>(),
                          .Age = Millis(Each.at(1).get<std::int64_t>()),
                          .ReachesDirectly = Each.at(2).get<bool>()};
    if (Each.size() >= SizeWithContact)
      Item.ContactAge = Millis(Each.at(3).get<std::int64_t>());
    if (Item.Age < Millis::zero())
      throw std::invalid_argument("evidence of a negative age");
    Out.push_back(std::move(Item));
  }
  return Out;
}

static PrimaryQuery queryFrom(const Json &In) {
  PrimaryQuery Out;
  Out.From = In.at("from").get<std::string>();
  Out.Number = In.at("n").get<std::uint64_t>();
  Out.Group = In.at("group").get<std::string>();
  Out.Instance = In.at("instance").get<std::string>();
  Out.Scope = scopeFrom(In);
  return Out;
}

static PrimaryReport reportFrom(const Json &In) {
  PrimaryReport Out;
  Out.From = In.at("from").get<std::string>();
  Out.Number = In.at("n").get<std::uint64_t>();
  Out.Group = In.at("group").get<std::string>();
  Out.ReachesDirectly = In.at("reaches").get<bool>();
  Out.Primary = In.at("primary").get<std::string>();
  Out.LogEnd.WrittenIn = In.at("term").get<Term>();
  Out.LogEnd.Index = In.at("index").get<LogIndex>();
  Out.ProofAge = Millis(In.at("age").get<std::int64_t>());
  if (In.contains("heard"))
    Out.ContactAge = Millis(In.at("heard").get<std::int64_t>());
  if (In.contains("others")) {
    Out.PassesOn = true;
    Out.PassedOn = evidenceFrom(In.at("others"));
    Out.Held = Millis(In.value("held", std::int64_t{0}));
  }
  return Out;
}

static PromotionNotice noticeFrom(const Json &In) {
  PromotionNotice Out;
  Out.From = In.at("from").get<std::string>();
  Out.Group = In.at("group").get<std::string>();
  Out.Token = In.at("token").get<std::uint64_t>();
  return Out;
}

static PeerMessage messageFrom(const Json &In) {
  std::string Type = In.at("t").get<std::string>();
  if (Type == "hello")
    return helloFrom(In);
  if (Type == "ask")
    return queryFrom(In);
  if (Type == "say")
    return reportFrom(In);
  if (Type == "act")
    return noticeFrom(In);
  if (Type == "lease?")
    return leaseQueryFrom(In);
  if (Type == "lease")
    return leaseAnswerFrom(In);
  if (Type == "propose")
    return proposalRequestFrom(In);
  if (Type == "vote")
    return proposalAnswerFrom(In);
  if (Type == "end")
    return proposalEndFrom(In);
  if (std::optional<QuotaMessage> Quota = quotaMessageFrom(In))
    return PeerQuotaMessage{.From = In.at("from").get<std::string>(),
                            .Message = std::move(*Quota)};
  throw std::invalid_argument("unknown message '" + Type + "'");
}

} // namespace internal

std::string encodePeerMessage(const PeerMessage &Message) {
  std::string Bytes;
  internal::Json Json = std::visit(
      [](const auto &Each) { return internal::toJson(Each); }, Message);
  internal::Json::to_cbor(Json, Bytes);
  return Bytes;
}

Result<PeerMessage> decodePeerMessage(const std::string &Bytes) {
  try {
    return internal::messageFrom(parseCbor(Bytes));
  } catch (const std::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed message: ") + E.what()};
  }
}

} // namespace cicadawind
