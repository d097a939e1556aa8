#include "Sessions/TokenCodec.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace cicadawind {
namespace internal {

static constexpr std::string_view SessionPurpose = "cws1";
static constexpr std::size_t TagBytes = 16;

static std::string encodeBase64Url(std::string_view Bytes) {
  std::string Out(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Length));
  std::replace(Out.begin(), Out.end(), '+', '-');
  std::replace(Out.begin(), Out.end(), '/', '_');
  Out.erase(Out.find_last_not_of('=') + 1);
  return Out;
}

static std::optional<std::string> decodeBase64Url(std::string Text) {
  std::replace(Text.begin(), Text.end(), '-', '+');
  std::replace(Text.begin(), Text.end(), '_', '/');
  std::size_t Padding = (4 - Text.size() % 4) % 4;
  Text.append(Padding, '=');
  std::string Out(Text.size() / 4 * 3 + 1, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < static_cast<int>(Padding))
    return std::nullopt;
  Out.resize(static_cast<std::size_t>(Length) - Padding);
  return Out;
}

static std::string tagOf(const std::string &Key, std::string_view Text) {
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest, &Length);
  return std::string(reinterpret_cast<const char *>(Digest), TagBytes);
}

static Error tokenError(const char *Message) {
  return Error{.Code = ErrorCode::TokenInvalid, .Message = Message};
}

} // namespace internal

TokenCodec::TokenCodec(std::vector<std::string> NewKeys)
    : Keys(std::move(NewKeys)) {
  assert(!Keys.empty() && "a token codec requires at least one key");
}

std::string TokenCodec::seal(std::string_view Purpose,
                             const std::string &Payload) const {
  std::string Signed =
      std::string(Purpose) + "." + internal::encodeBase64Url(Payload);
  return Signed + "." +
         internal::encodeBase64Url(internal::tagOf(Keys.front(), Signed));
}

Result<std::string> TokenCodec::open(std::string_view Purpose,
                                     const std::string &Token) const {
  if (Token.size() > MaxTokenBytes)
    return internal::tokenError("the token is too long");
  std::size_t First = Token.find('.');
  std::size_t Last = Token.rfind('.');
  if (First == std::string::npos || First == Last)
    return internal::tokenError("the token is malformed");
  if (std::string_view(Token).substr(0, First) != Purpose)
    return internal::tokenError("the token is of another kind or version");
  std::string_view Signed = std::string_view(Token).substr(0, Last);
  std::string ReceivedTag = Token.substr(Last + 1);
  bool Matches = false;
  for (const std::string &Key : Keys) {
    std::string Tag = internal::encodeBase64Url(internal::tagOf(Key, Signed));
    Matches = Matches ||
              (Tag.size() == ReceivedTag.size() &&
               CRYPTO_memcmp(Tag.data(), ReceivedTag.data(), Tag.size()) == 0);
  }
  if (!Matches)
    return internal::tokenError("the token was not signed by this system");
  std::optional<std::string> Payload =
      internal::decodeBase64Url(Token.substr(First + 1, Last - First - 1));
  if (!Payload)
    return internal::tokenError("the token's payload is malformed");
  return *Payload;
}

std::string TokenCodec::encode(const SessionState &State) const {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &[Database, Entry] : State.positions()) {
    nlohmann::json Row{Entry.MinPosition.WrittenIn, Entry.MinPosition.Index};
    if (Entry.OutcomeUnknown)
      Row.push_back(Entry.UnknownWriteKey);
    Json[Database] = std::move(Row);
  }
  std::vector<std::uint8_t> Bytes = nlohmann::json::to_cbor(Json);
  return seal(internal::SessionPurpose,
              std::string(Bytes.begin(), Bytes.end()));
}

Result<SessionState> TokenCodec::decode(const std::string &Token) const {
  SessionState State;
  if (Token.empty())
    return State;
  Result<std::string> Payload = open(internal::SessionPurpose, Token);
  if (const Error *E = errorOf(Payload))
    return *E;
  try {
    nlohmann::json Json = parseCbor(valueOf(Payload));
    for (const auto &[Database, Row] : Json.items()) {
      SessionPosition Entry;
      Entry.MinPosition = {.WrittenIn = Row.at(0).get<Term>(),
                           .Index = Row.at(1).get<LogIndex>()};
      Entry.OutcomeUnknown = Row.size() > 2;
      if (Entry.OutcomeUnknown)
        Entry.UnknownWriteKey = Row.at(2).get<std::uint64_t>();
      State.set(Database, Entry);
    }
  } catch (const nlohmann::json::exception &) {
    return internal::tokenError("the token's payload is malformed");
  }
  return State;
}

} // namespace cicadawind
