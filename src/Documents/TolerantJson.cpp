#include "Documents/TolerantJson.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace cicadawind {

const char *const UnreadableName = "\xEF\xBF\xBD";

namespace internal {

using Json = nlohmann::json;

/// Returns the position after the string that begins at \p Begin of \p Text;
/// beyond the text if it does not end.
static std::size_t endOfString(std::string_view Text, std::size_t Begin) {
  std::size_t At = Begin + 1;
  while (At < Text.size() && Text[At] != '"')
    At += Text[At] == '\\' ? 2 : 1;
  return At + 1;
}

/// \class JsonScanner
/// \brief Finds the values in a JSON text without reading them.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view Text) : Rest(Text) {}

  /// Skips white space and then \p Expected; returns whether it was there.
  bool consume(char Expected) {
    skipSpace();
    if (!Rest.starts_with(Expected))
      return false;
    Rest.remove_prefix(1);
    return true;
  }
  bool isAtEnd() {
    skipSpace();
    return Rest.empty();
  }
  /// Returns the text of the next value; empty if it does not end.
  std::string_view takeValue() {
    skipSpace();
    std::size_t Depth = 0;
    std::size_t End = 0;
    while (End < Rest.size()) {
      char Next = Rest[End];
      bool IsDelimiter =
          Next == ',' || Next == '}' || Next == ']' || Next == ':';
      if (Depth == 0 && IsDelimiter)
        break;
      if (Next == '"')
        End = endOfString(Rest, End);
      else
        ++End;
      if (Next == '{' || Next == '[')
        ++Depth;
      else if (Next == '}' || Next == ']')
        --Depth;
    }
    if (Depth != 0 || End > Rest.size())
      return {};
    std::string_view Value = Rest.substr(0, End);
    Rest.remove_prefix(End);
    return Value;
  }

private:
  void skipSpace() {
    std::size_t Start = Rest.find_first_not_of(" \t\r\n");
    Rest.remove_prefix(Start == std::string_view::npos ? Rest.size() : Start);
  }

  /// What has not been taken yet.
  std::string_view Rest;
};

/// Returns \p Text without the white space at its end.
static std::string_view withoutTrailingSpace(std::string_view Text) {
  return Text.substr(0, Text.find_last_not_of(" \t\r\n") + 1);
}

/// Returns whether \p Text is one string, which may be unreadable.
static bool isString(std::string_view Text) {
  return Text.starts_with('"') && endOfString(Text, 0) == Text.size();
}

/// Returns the member name \p Text, or UnreadableName if it cannot be read;
/// nothing if it is no string.
static std::optional<std::string> parseName(std::string_view Text) {
  Text = withoutTrailingSpace(Text);
  if (!isString(Text))
    return std::nullopt;
  Json Name = tryParseJson(Text);
  return Name.is_string() ? Name.get<std::string>() : UnreadableName;
}

static std::optional<Json> parseValue(std::string_view Text, std::size_t Depth);

static std::optional<Json> parseMembers(JsonScanner Scanner,
                                        std::size_t Depth) {
  Json Out = Json::object();
  while (!Scanner.consume('}')) {
    if (!Out.empty() && !Scanner.consume(','))
      return std::nullopt;
    std::optional<std::string> Name = parseName(Scanner.takeValue());
    if (!Name || !Scanner.consume(':'))
      return std::nullopt;
    std::optional<Json> Value = parseValue(Scanner.takeValue(), Depth + 1);
    if (!Value)
      return std::nullopt;
    Out[*Name] = *Name == UnreadableName ? Json() : std::move(*Value);
  }
  if (!Scanner.isAtEnd())
    return std::nullopt;
  return Out;
}

static std::optional<Json> parseElements(JsonScanner Scanner,
                                         std::size_t Depth) {
  Json Out = Json::array();
  while (!Scanner.consume(']')) {
    if (!Out.empty() && !Scanner.consume(','))
      return std::nullopt;
    std::optional<Json> Value = parseValue(Scanner.takeValue(), Depth + 1);
    if (!Value)
      return std::nullopt;
    Out.push_back(std::move(*Value));
  }
  if (!Scanner.isAtEnd())
    return std::nullopt;
  return Out;
}

/// Returns whether \p Text is one string, or has the characters of a number.
static bool isScalar(std::string_view Text) {
  Text = withoutTrailingSpace(Text);
  if (Text.starts_with('"'))
    return isString(Text);
  return !Text.empty() &&
         Text.find_first_not_of("+-.0123456789eE") == std::string_view::npos;
}

/// Returns nothing if the structure of \p Text is malformed.
static std::optional<Json> parseValue(std::string_view Text,
                                      std::size_t Depth) {
  Json Whole = tryParseJson(Text, DeepValues::LeaveOut);
  if (!Whole.is_discarded())
    return Whole;
  if (Depth >= MaxJsonDepth || isScalar(Text))
    return Json();
  JsonScanner Scanner(Text);
  if (Scanner.consume('{'))
    return parseMembers(Scanner, Depth);
  if (Scanner.consume('['))
    return parseElements(Scanner, Depth);
  return std::nullopt;
}

} // namespace internal

nlohmann::json parseTolerantly(std::string_view Text) {
  std::optional<nlohmann::json> Parsed = internal::parseValue(Text, 0);
  if (!Parsed)
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return std::move(*Parsed);
}

} // namespace cicadawind
