#include "Documents/JsonParsing.h"

#include "Documents/DepthLimitedBuilder.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

/// Identifier of the exception for a refused document; the library's own
/// errors of this type have other numbers.
constexpr int RefusedDocument = 599;

/// Parses \p Text in \p Format; throws if it is refused.
static Json parse(std::string_view Text, Json::input_format_t Format) {
  DepthLimitedBuilder Builder(DeepValues::Refuse);
  if (!Json::sax_parse(Text, &Builder, Format))
    throw Json::other_error::create(RefusedDocument, Builder.errorText(),
                                    nullptr);
  return std::move(Builder.root());
}

} // namespace internal

nlohmann::json parseJson(std::string_view Text) {
  return internal::parse(Text, nlohmann::json::input_format_t::json);
}

nlohmann::json tryParseJson(std::string_view Text, DeepValues Deep) {
  internal::DepthLimitedBuilder Builder(Deep);
  if (!nlohmann::json::sax_parse(Text, &Builder))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return std::move(Builder.root());
}

nlohmann::json parseCbor(std::string_view Bytes) {
  return internal::parse(Bytes, nlohmann::json::input_format_t::cbor);
}

} // namespace cicadawind
