#define BOOST_TEST_MODULE QuotaMessage
#include <boost/test/unit_test.hpp>

#include "Exchange/PeerMessage.h"

#include <nlohmann/json.hpp>

using namespace cicadawind;
using Json = nlohmann::json;

namespace {

/// Maximum size in bytes of a datagram that usual links carry unfragmented.
constexpr std::size_t MaxDatagramBytes = 1400;
constexpr std::uint64_t LargeNumber = 0xfedcba9876543210;

/// Returns \p Message as another VM decodes it.
template <class Message> Message transferred(const Message &Sent) {
  std::string Bytes =
      encodePeerMessage(PeerQuotaMessage{.From = "vm-1", .Message = Sent});
  BOOST_TEST(Bytes.size() < MaxDatagramBytes);
  Result<PeerMessage> Decoded = decodePeerMessage(Bytes);
  BOOST_REQUIRE(!errorOf(Decoded));
  const auto &Read = std::get<PeerQuotaMessage>(valueOf(Decoded));
  BOOST_TEST(Read.From == "vm-1");
  return std::get<Message>(Read.Message);
}

bool isRefused(const Json &Message) {
  std::string Bytes;
  Json::to_cbor(Message, Bytes);
  return errorOf(decodePeerMessage(Bytes)) != nullptr;
}

} // namespace

BOOST_AUTO_TEST_CASE(claimsVotesAndReleasesSurviveEncodingAndDecoding) {
  IssuerClaim Claim = transferred(IssuerClaim{.FailureDomain = "d",
                                              .Partition = 3,
                                              .Incarnation = LargeNumber,
                                              .Number = 9,
                                              .DomainSize = 188});
  BOOST_TEST(Claim.FailureDomain == "d");
  BOOST_TEST(Claim.Partition == 3);
  BOOST_TEST(Claim.Incarnation == LargeNumber);
  BOOST_TEST(Claim.Number == 9);
  BOOST_TEST(Claim.DomainSize == 188);
  IssuerVote Vote = transferred(IssuerVote{.Partition = 3,
                                           .Incarnation = LargeNumber,
                                           .Number = 9,
                                           .Granted = true});
  BOOST_TEST(Vote.Partition == 3);
  BOOST_TEST(Vote.Incarnation == LargeNumber);
  BOOST_TEST(Vote.Number == 9);
  BOOST_TEST(Vote.Granted);
  IssuerRelease Release = transferred(IssuerRelease{.FailureDomain = "d",
                                                    .Partition = 3,
                                                    .Incarnation = LargeNumber,
                                                    .Number = 9});
  BOOST_TEST(Release.FailureDomain == "d");
  BOOST_TEST(Release.Partition == 3);
  BOOST_TEST(Release.Incarnation == LargeNumber);
  BOOST_TEST(Release.Number == 9);
}

BOOST_AUTO_TEST_CASE(permitsSurviveEncodingAndDecoding) {
  PermitRequest Request{.Partition = 2, .Number = LargeNumber};
  std::size_t NameBytes = MaxPermitNameBytes / MaxPermitItems;
  Request.Items.assign(MaxPermitItems, {.Account = std::string(NameBytes, 'a'),
                                        .Count = MaxPermitsOfItem});
  PermitRequest ReadRequest = transferred(Request);
  BOOST_TEST(ReadRequest.Partition == 2);
  BOOST_TEST(ReadRequest.Number == LargeNumber);
  BOOST_REQUIRE(ReadRequest.Items.size() == MaxPermitItems);
  BOOST_TEST(ReadRequest.Items[1].Account == Request.Items[1].Account);
  BOOST_TEST(ReadRequest.Items[1].Count == MaxPermitsOfItem);
  PermitReply Reply{.Number = LargeNumber,
                    .IsIssuer = true,
                    .Issuer = "vm-2",
                    .Items = {{.Granted = 7}, {.RetryAfter = Millis(40)}}};
  PermitReply ReadReply = transferred(Reply);
  BOOST_TEST(ReadReply.Number == LargeNumber);
  BOOST_TEST(ReadReply.IsIssuer);
  BOOST_TEST(ReadReply.Issuer == "vm-2");
  BOOST_REQUIRE(ReadReply.Items.size() == 2);
  BOOST_TEST(ReadReply.Items[0].Granted == 7);
  BOOST_TEST(ReadReply.Items[1].RetryAfter.count() == 40);
}

BOOST_AUTO_TEST_CASE(malformedMessagesAreRefused) {
  Json Request = {{"t", "permit?"},
                  {"from", "v"},
                  {"p", 1},
                  {"n", 2},
                  {"items", Json::array({Json::array({"a", 3})})}};
  BOOST_REQUIRE(!isRefused(Request));
  for (const char *Member : {"from", "p", "n", "items"}) {
    Json Missing = Request;
    Missing.erase(Member);
    BOOST_TEST_CONTEXT(Member) { BOOST_TEST(isRefused(Missing)); }
  }
  for (const auto &[Member, Value] : std::vector<std::pair<std::string, Json>>{
           {"p", 4},
           {"p", -1},
           {"n", -2},
           {"n", "2"},
           {"items", "a"},
           {"items", Json::array({Json::array({"a"})})},
           {"items", Json::array({Json::array({"a", -1})})},
           {"items", Json::array({Json::array({"a", 1.5})})},
           {"items", Json::array({Json::array({"a", MaxPermitsOfItem + 1})})},
           {"items", Json(MaxPermitItems + 1, Json::array({"a", 1}))}}) {
    Json Wrong = Request;
    Wrong[Member] = Value;
    BOOST_TEST_CONTEXT(Wrong) { BOOST_TEST(isRefused(Wrong)); }
  }
}

BOOST_AUTO_TEST_CASE(repliesWithNumbersOutOfRangeAreRefused) {
  auto Reply = [](const Json &Item) {
    return Json{{"t", "permit"}, {"from", "v"},
                {"n", 2},        {"yes", true},
                {"issuer", ""},  {"items", Json::array({Item})}};
  };
  BOOST_TEST(!isRefused(Reply(Json::array({1, 2}))));
  BOOST_TEST(isRefused(Reply(Json::array({-1, 2}))));
  BOOST_TEST(isRefused(Reply(Json::array({1, -2}))));
  BOOST_TEST(isRefused(Reply(Json::array({1, 1e300}))));
  BOOST_TEST(isRefused(Reply(Json::array({MaxPermitsOfItem + 1, 2}))));
}
