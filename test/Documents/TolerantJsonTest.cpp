#define BOOST_TEST_MODULE TolerantJson
#include <boost/test/unit_test.hpp>

#include "Documents/JsonParsing.h"
#include "Documents/TolerantJson.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace cicadawind;
using Json = nlohmann::json;

// One such value hid all others of a list.
BOOST_AUTO_TEST_CASE(valuesThatCannotBeReadAreNull) {
  for (const char *Unreadable :
       {R"("\udcff")", "\"\xff\"", "1e400", "-1e999", "\"a\x01\"", R"("\x")"})
    BOOST_TEST_CONTEXT(Unreadable) {
      std::string Text = std::string(R"({"items":[{"a":[1,)") + Unreadable +
                         R"( ],"b":"}]"},{"c":"\"]"}],"rev":7})";
      BOOST_TEST(tryParseJson(Text).is_discarded());
      Json Parsed = parseTolerantly(Text);
      Json Expected = Json::parse(
          R"({"items":[{"a":[1,null],"b":"}]"},{"c":"\"]"}],"rev":7})");
      BOOST_TEST(Parsed == Expected);
    }
}

// review/7: one such name hid all entries of the store.
BOOST_AUTO_TEST_CASE(membersWhoseNamesCannotBeReadHideNoOthers) {
  for (const char *Unreadable : {R"("\udcff")", "\"\xff\"", R"("\ud800x")",
                                 "\"a\x01\"", R"("\x")", "\"\xc3\x28\\\"\" "})
    for (const char *Value : {"1", "{\"x\":[]}", "[\"\xff\"]", "1e999"})
      BOOST_TEST_CONTEXT(Unreadable << " with " << Value) {
        std::string Member = std::string(Unreadable) + ":" + Value;
        std::string Text = "{" + Member + R"(,"items":[{"meta":{)" + Member +
                           R"(,"name":"i"},"spec":{"a":1,)" + Member + "," +
                           Member + R"(}},{"b":2}],"rev":7})";
        BOOST_TEST(tryParseJson(Text).is_discarded());
        Json Parsed = parseTolerantly(Text);
        Json Expected = Json::parse(
            R"({"\ufffd":null,"items":[{"meta":{"\ufffd":null,"name":"i"},)"
            R"("spec":{"a":1,"\ufffd":null}},{"b":2}],"rev":7})");
        BOOST_TEST(Parsed == Expected);
      }
}

BOOST_AUTO_TEST_CASE(manyUnreadableNamesAreReadInLinearTime) {
  std::string Text = "[";
  for (int I = 0; I < 20000; ++I)
    Text += "{\"\xff\":1},";
  Json Parsed = parseTolerantly(Text + "1]");
  BOOST_TEST(Parsed.size() == 20001U);
  BOOST_TEST(Parsed.back() == 1);
}

BOOST_AUTO_TEST_CASE(aMalformedStructureIsDiscarded) {
  for (const char *Text : {"",
                           "{",
                           "[",
                           "[1,]",
                           "[,1]",
                           "{\"a\" 1}",
                           "{a:1}",
                           "[1 \"\xff\"]",
                           "[\"\xff\"] 1",
                           "[\"\xff\"",
                           "[\"\xff\"}",
                           "[tru,\"\xff\"]",
                           "\"\xff",
                           "{\"a\":\"\xff\",}",
                           "{\"\xff\"}",
                           "{\"\xff\" 1}",
                           "{\"\xff\":1,}",
                           "{,\"\xff\":1}",
                           "{\"\xff\":1 \"b\":2}",
                           "{\"\xff\"x:1}",
                           "{\"\xff:1}",
                           "[\"\xff\",1 2]",
                           "[\"\xff\"\"\"]"})
    BOOST_TEST_CONTEXT(Text) {
      BOOST_TEST(parseTolerantly(Text).is_discarded());
    }
}

// Each level is parsed again, so there must be a limit.
BOOST_AUTO_TEST_CASE(anUnreadableValueBelowTheDepthLimitIsLeftOut) {
  constexpr std::size_t Depth = 100000;
  std::string Deep =
      std::string(Depth, '[') + "\"\xff\"" + std::string(Depth, ']');
  Json Parsed = parseTolerantly("{\"deep\":" + Deep + ",\"rev\":7}");
  BOOST_REQUIRE(Parsed.is_object());
  BOOST_TEST(Parsed["rev"] == 7);
}

BOOST_AUTO_TEST_CASE(manyUnreadableValuesAreReadInLinearTime) {
  std::string Text = "[";
  for (int I = 0; I < 20000; ++I)
    Text += "{\"a\":\"\xff\"},";
  Json Parsed = parseTolerantly(Text + "1]");
  BOOST_TEST(Parsed.size() == 20001U);
  BOOST_TEST(Parsed.back() == 1);
}
