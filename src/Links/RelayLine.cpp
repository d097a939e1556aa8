#include "Links/RelayLine.h"

#include <charconv>

namespace cicadawind {
namespace internal {

constexpr std::string_view OpeningWord = "CARRY ";
/// Begins the word that names an account. No request begins with it.
constexpr char AccountMark = '@';

/// Parses a number and the space after it and removes both from \p Text.
/// Returns nothing if \p Text does not begin with them.
template <class Number>
static std::optional<Number> consumeNumber(std::string_view &Text) {
  std::size_t Space = Text.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  Number Value = 0;
  auto [End, Code] = std::from_chars(Text.data(), Text.data() + Space, Value);
  if (Code != std::errc() || End != Text.data() + Space)
    return std::nullopt;
  Text.remove_prefix(Space + 1);
  return Value;
}

} // namespace internal

std::string RelayLine::openingFor(const std::string &Group,
                                  const std::string &Instance) {
  return std::string(internal::OpeningWord) + Group + " " + Instance + "\r\n";
}

std::string RelayLine::prefixFor(unsigned Priority, Millis MaxWait,
                                 std::string_view Account) {
  std::string Out =
      std::to_string(Priority) + " " + std::to_string(MaxWait.count()) + " ";
  if (!Account.empty())
    Out.append(1, internal::AccountMark).append(Account).append(" ");
  return Out;
}

std::optional<RelayLine> RelayLine::parseOpening(std::string_view Text) {
  if (!Text.starts_with(internal::OpeningWord))
    return std::nullopt;
  Text.remove_prefix(internal::OpeningWord.size());
  std::size_t Space = Text.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  RelayLine Out;
  Out.Group = Text.substr(0, Space);
  Out.Instance = Text.substr(Space + 1);
  return Out;
}

std::optional<RelayLine> RelayLine::parseRequest(std::string_view Text) {
  auto Priority = internal::consumeNumber<unsigned>(Text);
  if (!Priority)
    return std::nullopt;
  auto MaxWait = internal::consumeNumber<std::int64_t>(Text);
  if (!MaxWait || *MaxWait < 0)
    return std::nullopt;
  RelayLine Out;
  Out.Priority = *Priority;
  Out.MaxWait = Millis(*MaxWait);
  if (Text.starts_with(internal::AccountMark)) {
    std::size_t Space = Text.find(' ');
    if (Space == std::string_view::npos || Space == 1)
      return std::nullopt;
    Out.Account = Text.substr(1, Space - 1);
    Text.remove_prefix(Space + 1);
  }
  Out.Line = Text;
  return Out;
}

} // namespace cicadawind
