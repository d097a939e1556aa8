#include "Settings/SettingsReader.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace cicadawind {
namespace internal {

/// Returns whether \p Text is the number of a port.
static bool isPort(const std::string &Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Port);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Port != 0;
}

const toml::node *SettingsReader::find(const std::string &Section,
                                       const std::string &Key) {
  ReadKeys[Section].insert(Key);
  return Table[Section][Key].node();
}

std::size_t SettingsReader::lineOf(const std::string &Section,
                                   const std::string &Key) const {
  if (const toml::node *Node = Table[Section][Key].node())
    return Node->source().begin.line;
  if (const toml::node *Node = Table[Section].node())
    return Node->source().begin.line;
  return 1;
}

void SettingsReader::checkAddress(const std::string &Section,
                                  const std::string &Key,
                                  const std::string &Text) {
  boost::system::error_code Code;
  boost::asio::ip::make_address(Text, Code);
  if (Code)
    addError(Section, Key, "must be an IP address");
}

void SettingsReader::checkEndpoint(const std::string &Section,
                                   const std::string &Key,
                                   const std::string &Text) {
  if (Text.empty())
    return;
  std::size_t Colon = Text.rfind(':');
  boost::system::error_code Code;
  boost::asio::ip::make_address(Text.substr(0, Colon), Code);
  if (Colon == std::string::npos || Code || !isPort(Text.substr(Colon + 1)))
    addError(Section, Key, "must be 'ip:port'");
}

void SettingsReader::addError(const std::string &Section,
                              const std::string &Key,
                              const std::string &Reason) {
  Errors.add(lineOf(Section, Key), Section + "." + Key + ": " + Reason);
}

std::string SettingsReader::text(const std::string &Section,
                                 const std::string &Key) {
  const toml::node *Node = find(Section, Key);
  std::optional<std::string> Value;
  if (Node)
    Value = Node->value_exact<std::string>();
  if (Value && !Value->empty())
    return *Value;
  addError(Section, Key, Node ? "must be non-empty text" : "is missing");
  return {};
}

std::string SettingsReader::textOr(const std::string &Section,
                                   const std::string &Key,
                                   const std::string &Fallback) {
  const toml::node *Node = find(Section, Key);
  if (!Node)
    return Fallback;
  if (auto Value = Node->value_exact<std::string>())
    return *Value;
  addError(Section, Key, "must be text");
  return Fallback;
}

std::int64_t SettingsReader::numberOr(const std::string &Section,
                                      const std::string &Key,
                                      std::int64_t Fallback, std::int64_t Min,
                                      std::int64_t Max) {
  if (!find(Section, Key))
    return Fallback;
  return number(Section, Key, Min, Max);
}

std::int64_t SettingsReader::number(const std::string &Section,
                                    const std::string &Key, std::int64_t Min,
                                    std::int64_t Max) {
  const toml::node *Node = find(Section, Key);
  if (!Node) {
    addError(Section, Key, "is missing");
    return Min;
  }
  // toml++ converts a number to another type only if nothing is lost.
  std::optional<std::int64_t> Value =
      Node->is_number() ? Node->value<std::int64_t>() : std::nullopt;
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  addError(Section, Key,
           "must be a whole number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
  return Min;
}

Millis SettingsReader::secondsOr(const std::string &Section,
                                 const std::string &Key, Millis Fallback,
                                 Millis Min, Millis Max) {
  using Seconds = std::chrono::duration<double>;
  Seconds Value(decimalOr(Section, Key, Seconds(Fallback).count(),
                          Seconds(Min).count(), Seconds(Max).count()));
  return std::chrono::duration_cast<Millis>(Value);
}

double SettingsReader::decimalOr(const std::string &Section,
                                 const std::string &Key, double Fallback,
                                 double Min, double Max) {
  const toml::node *Node = find(Section, Key);
  if (!Node)
    return Fallback;
  std::optional<double> Value =
      Node->is_number() ? Node->value<double>() : std::nullopt;
  // A value that is not a number fails both comparisons.
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  addError(Section, Key,
           "must be a number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
  return Min;
}

bool SettingsReader::booleanOr(const std::string &Section,
                               const std::string &Key, bool Fallback) {
  const toml::node *Node = find(Section, Key);
  if (!Node)
    return Fallback;
  std::optional<bool> Value = Node->value_exact<bool>();
  if (!Value)
    addError(Section, Key, "must be true or false");
  return Value.value_or(false);
}

std::vector<std::string> SettingsReader::texts(const std::string &Section,
                                               const std::string &Key) {
  std::vector<std::string> Out;
  const toml::node *Node = find(Section, Key);
  if (!Node)
    return Out;
  const toml::array *Items = Node->as_array();
  if (!Items) {
    addError(Section, Key, "must be a list of texts");
    return Out;
  }
  for (const toml::node &Item : *Items) {
    if (auto Value = Item.value_exact<std::string>())
      Out.push_back(*Value);
    else
      addError(Section, Key, "must hold texts only");
  }
  return Out;
}

void SettingsReader::reportUnknown() {
  for (const auto &[SectionKey, SectionNode] : Table) {
    std::string Section(SectionKey.str());
    const toml::table *Keys = SectionNode.as_table();
    auto ReadInSection = ReadKeys.find(Section);
    if (!Keys || ReadInSection == ReadKeys.end()) {
      Errors.add(SectionNode.source().begin.line,
                 Section + ": is not a known section");
      continue;
    }
    for (const auto &[Key, Node] : *Keys)
      if (!ReadInSection->second.count(std::string(Key.str())))
        Errors.add(Node.source().begin.line, Section + "." +
                                                 std::string(Key.str()) +
                                                 ": is not a known key");
  }
}

} // namespace internal
} // namespace cicadawind
