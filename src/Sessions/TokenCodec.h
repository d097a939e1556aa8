#ifndef CICADAWIND_SESSIONS_TOKENCODEC_H
#define CICADAWIND_SESSIONS_TOKENCODEC_H

#include "Core/Result.h"
#include "Sessions/SessionState.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class TokenCodec
/// \brief Turns session state and transaction handles into signed text.
///
/// Layout: version "." base64url(CBOR payload) "." base64url(tag), where the
/// tag is the first 16 bytes of HMAC-SHA-256 over version and payload. Text
/// whose tag was made with none of the keys is refused as TokenInvalid. The
/// first key signs and all verify, so keys can be replaced without ending
/// sessions. Const calls are thread safe.
class TokenCodec {
public:
  /// \p Keys must not be empty; each is at least MinKeyBytes long.
  explicit TokenCodec(std::vector<std::string> Keys);

  static constexpr std::size_t MinKeyBytes = 16;
  /// Longest token accepted, in bytes.
  static constexpr std::size_t MaxTokenBytes = 8192;

  std::string encode(const SessionState &State) const;

  /// Empty text is a new session.
  Result<SessionState> decode(const std::string &Token) const;

  /// Signs any short text, such as a transaction handle, for \p Purpose.
  std::string seal(std::string_view Purpose, const std::string &Payload) const;

  /// Inverse of seal; TokenInvalid when changed or made for another purpose.
  Result<std::string> open(std::string_view Purpose,
                           const std::string &Token) const;

private:
  std::vector<std::string> Keys;
};

} // namespace cicadawind

#endif
