#define BOOST_TEST_MODULE TokenCodec
#include "Sessions/TokenCodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace cicadawind;

static const std::string KeyA = "0123456789abcdef-a";
static const std::string KeyB = "0123456789abcdef-b";

static SessionState sampleState() {
  SessionState State;
  State.observe("bodega-1", {.WrittenIn = 3, .Index = 1000});
  State.markOutcomeUnknown("bodega-2", hashKey("order-1"));
  return State;
}

BOOST_AUTO_TEST_CASE(DecodeInvertsEncode) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 1);
  TokenCodec Codec({KeyA});
  bool AllHeld = rc::check("decode inverts encode", [&] {
    SessionState State;
    auto Count = *rc::gen::inRange(0, 20);
    for (int I = 0; I < Count; ++I) {
      std::string Name = "db-" + std::to_string(I);
      State.observe(Name, {.WrittenIn = *rc::gen::arbitrary<Term>(),
                           .Index = *rc::gen::arbitrary<LogIndex>()});
      if (*rc::gen::arbitrary<bool>())
        State.markOutcomeUnknown(Name, *rc::gen::arbitrary<std::uint64_t>());
    }
    Result<SessionState> Decoded = Codec.decode(Codec.encode(State));
    RC_ASSERT(!errorOf(Decoded));
    RC_ASSERT(valueOf(Decoded) == State);
  });
  BOOST_TEST(AllHeld);
}

BOOST_AUTO_TEST_CASE(TokensWithAChangedByteAreRefused) {
  TokenCodec Codec({KeyA});
  std::string Token = Codec.encode(sampleState());
  for (std::size_t I = 0; I < Token.size(); ++I) {
    std::string Changed = Token;
    Changed[I] = Changed[I] == 'x' ? 'y' : 'x';
    BOOST_TEST((errorOf(Codec.decode(Changed)) != nullptr), "byte " << I);
  }
  BOOST_TEST(errorOf(Codec.decode("nonsense")) != nullptr);
  BOOST_TEST(errorOf(Codec.decode(std::string(9000, 'a'))) != nullptr);
}

BOOST_AUTO_TEST_CASE(TokensOfOtherKeysOrPurposesAreRefused) {
  TokenCodec OwnCodec({KeyA});
  TokenCodec OtherCodec({KeyB});
  BOOST_TEST(errorOf(OwnCodec.decode(OtherCodec.encode(sampleState()))) !=
             nullptr);
  std::string Transaction = OwnCodec.seal("cwt1", "handle");
  BOOST_TEST(errorOf(OwnCodec.decode(Transaction)) != nullptr);
  BOOST_TEST(errorOf(OwnCodec.open("other", Transaction)) != nullptr);
}

BOOST_AUTO_TEST_CASE(TokensSurviveReplacementOfKeys) {
  TokenCodec Old({KeyA});
  TokenCodec Both({KeyB, KeyA});
  TokenCodec New({KeyB});
  BOOST_TEST(errorOf(Both.decode(Old.encode(sampleState()))) == nullptr);
  BOOST_TEST(errorOf(New.decode(Both.encode(sampleState()))) == nullptr);
}

BOOST_AUTO_TEST_CASE(TokenOfAFullSessionFitsTheLimit) {
  SessionState State;
  for (std::size_t I = 0; I < SessionState::MaxDatabases; ++I)
    State.observe("saumur-db-" + std::to_string(1000 + I),
                  {.WrittenIn = 1000, .Index = 4000000000ULL});
  BOOST_TEST(!State.hasRoomFor("one-more"));
  BOOST_TEST(TokenCodec({KeyA}).encode(State).size() <
             TokenCodec::MaxTokenBytes);
}

BOOST_AUTO_TEST_CASE(OnlyTheSameKeyResolvesAWriteOfUnknownOutcome) {
  SessionState State = sampleState();
  State.resolveUnknown("bodega-2", hashKey("order-2"));
  BOOST_TEST(State.position("bodega-2").OutcomeUnknown);
  State.resolveUnknown("bodega-2", 0);
  BOOST_TEST(State.position("bodega-2").OutcomeUnknown);
  State.resolveUnknown("bodega-2", hashKey("order-1"));
  BOOST_TEST(!State.position("bodega-2").OutcomeUnknown);
  // With two writes of unknown outcome, neither key resolves them.
  State.markOutcomeUnknown("bodega-2", hashKey("order-1"));
  State.markOutcomeUnknown("bodega-2", hashKey("order-2"));
  State.resolveUnknown("bodega-2", hashKey("order-2"));
  BOOST_TEST(State.position("bodega-2").OutcomeUnknown);
}
