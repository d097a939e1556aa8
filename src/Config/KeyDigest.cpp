#include "Config/KeyDigest.h"

#include <openssl/sha.h>

#include <utility>

namespace cicadawind {
namespace internal {

/// Length of a digest. Two of a million keys have the same one with a
/// probability below 1 in 10 million.
constexpr std::size_t DigestBytes = 8;

static std::string hexOf(const unsigned char *Bytes, std::size_t Size) {
  static const char *const Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 0xF;
  std::string Out;
  for (std::size_t I = 0; I < Size; ++I) {
    Out += Digits[Bytes[I] >> BitsPerDigit];
    Out += Digits[Bytes[I] & DigitMask];
  }
  return Out;
}

} // namespace internal

std::string keyDigest(const std::string &Key, const std::string &Salt) {
  // The separator keeps the end of the salt apart from the start of the key.
  std::string Text = Salt + '\n' + Key;
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest);
  return internal::hexOf(Digest, internal::DigestBytes);
}

ProxyConfig withKeyDigests(const ProxyConfig &Config, const std::string &Salt) {
  ProxyConfig Out;
  Out.Version = Config.Version;
  Out.Routes = Config.Routes;
  Out.Groups = Config.Groups;
  Out.Callers = Config.Callers;
  if (Config.Accounts.isEnabled())
    Out.Accounts.enable();
  for (ClientAccount Account : Config.Accounts.accounts()) {
    for (std::string &Key : Account.Keys)
      Key = keyDigest(Key, Salt);
    Out.Accounts.add(std::move(Account));
  }
  return Out;
}

} // namespace cicadawind
