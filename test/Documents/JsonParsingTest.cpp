#define BOOST_TEST_MODULE JsonParsing
#include <boost/test/unit_test.hpp>

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace cicadawind;
using Json = nlohmann::json;

namespace {

/// Nesting that exhausts a stack of 8 MB if each level uses some of it.
constexpr std::size_t ExcessiveDepth = 400000;

std::string nestedLists(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Bytes of a CBOR list with one element.
std::string nestedCborLists(std::size_t Depth) {
  return std::string(Depth, '\x81') + '\x01';
}

/// Generates a document of up to \p Depth levels.
Json anyDocument(unsigned Depth) {
  switch (*rc::gen::inRange(0, Depth == 0 ? 6 : 8)) {
  case 0:
    return nullptr;
  case 1:
    return *rc::gen::arbitrary<bool>();
  case 2:
    return *rc::gen::arbitrary<std::int64_t>();
  case 3:
    return *rc::gen::arbitrary<std::uint64_t>();
  case 4:
    return *rc::gen::map(rc::gen::arbitrary<std::int16_t>(),
                         [](std::int16_t Value) { return Value / 8.0; });
  case 5:
    return *rc::gen::string<std::string>();
  case 6: {
    Json Out = Json::array();
    for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
      Out.push_back(anyDocument(Depth - 1));
    return Out;
  }
  default: {
    Json Out = Json::object();
    for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
      Out["k" + std::to_string(I)] = anyDocument(Depth - 1);
    return Out;
  }
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(documentsAreReadAsTheLibraryReadsThem) {
  BOOST_TEST(rc::check([] {
    Json Document = anyDocument(4);
    std::string Text =
        Document.dump(-1, ' ', false, Json::error_handler_t::replace);
    RC_ASSERT(tryParseJson(Text) == Json::parse(Text, nullptr, false));
    std::vector<std::uint8_t> Bytes = Json::to_cbor(Document);
    RC_ASSERT(parseCbor(std::string(Bytes.begin(), Bytes.end())) ==
              Json::from_cbor(Bytes));
  }));
}

BOOST_AUTO_TEST_CASE(malformedTextIsRefusedWithTheReason) {
  for (const char *Text : {"", "[", "{\"a\":}", "[1,]", "1 2", "\"\xff\""})
    BOOST_TEST_CONTEXT(Text) {
      BOOST_TEST(tryParseJson(Text).is_discarded());
      BOOST_CHECK_EXCEPTION(
          parseJson(Text), Json::exception, [](const Json::exception &E) {
            return std::string(E.what()).find("parse") != std::string::npos;
          });
    }
}

BOOST_AUTO_TEST_CASE(nestingUpToTheLimitIsRead) {
  BOOST_TEST(parseJson(nestedLists(MaxJsonDepth)).dump() ==
             nestedLists(MaxJsonDepth));
  BOOST_CHECK_THROW(parseJson(nestedLists(MaxJsonDepth + 1)), Json::exception);
  BOOST_CHECK_NO_THROW(parseCbor(nestedCborLists(MaxJsonDepth)));
  BOOST_CHECK_THROW(parseCbor(nestedCborLists(MaxJsonDepth + 1)),
                    Json::exception);
}

// The parser of CBOR calls itself for each level.
BOOST_AUTO_TEST_CASE(excessiveNestingDoesNotExhaustTheStack) {
  BOOST_TEST(tryParseJson(nestedLists(ExcessiveDepth)).is_discarded());
  BOOST_CHECK_THROW(parseCbor(nestedCborLists(ExcessiveDepth)),
                    Json::exception);
}

BOOST_AUTO_TEST_CASE(valuesBesideThoseLeftOutAreKept) {
  std::string Deep = nestedLists(ExcessiveDepth);
  Json Read = tryParseJson(R"({"a":)" + Deep + R"(,"b":[1,{"c":2}],"d":)" +
                               Deep + R"(,"e":"]"})",
                           DeepValues::LeaveOut);
  BOOST_TEST(Read["b"].dump() == R"([1,{"c":2}])");
  BOOST_TEST(Read["e"] == "]");
  BOOST_TEST(Read["a"].dump() == nestedLists(MaxJsonDepth - 1));
}
