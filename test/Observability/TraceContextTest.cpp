#define BOOST_TEST_MODULE TraceContext
#include <boost/test/unit_test.hpp>

#include "Observability/TraceContext.h"

using namespace cicadawind;

BOOST_AUTO_TEST_CASE(theLowestBitOfTheFlagsSaysWhetherTheTraceIsSampled) {
  const std::string Digits = "0123456789abcdef";
  for (std::size_t Value = 0; Value < Digits.size(); ++Value) {
    std::string Header =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0";
    Header += Digits[Value];
    TraceContext Context =
        TraceContext::fromHeader(Header, [] { return std::uint64_t{1}; });
    BOOST_TEST(Context.Sampled == (Value % 2 == 1), Header);
  }
}

BOOST_AUTO_TEST_CASE(aHeaderWithMalformedFlagsStartsANewTrace) {
  TraceContext Context = TraceContext::fromHeader(
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0g",
      [] { return std::uint64_t{1}; });
  BOOST_TEST(Context.ParentId == "");
}
