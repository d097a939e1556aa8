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
/// \brief Encodes session states and transaction handles as signed text.
///
/// The layout is: purpose "." base64url(payload) "." base64url(tag), where the
/// tag is the first 16 bytes of the HMAC-SHA-256 of the text before the last
/// dot. The purpose contains the version of the layout; the payload of a
/// session state is CBOR. Tokens are signed and not encrypted, so callers can
/// read them. A token whose tag matches none of the keys is refused with
/// TokenInvalid. The first key signs and every key verifies, so that keys can
/// be replaced without ending sessions. Const member functions are thread safe.
class TokenCodec {
public:
  /// Creates a codec. \p Keys must not be empty. Each key must be at least
  /// MinKeyBytes long.
  explicit TokenCodec(std::vector<std::string> Keys);

  static constexpr std::size_t MinKeyBytes = 16;
  /// Length of the longest token that is accepted, in bytes.
  static constexpr std::size_t MaxTokenBytes = 8192;

  /// Returns the token of \p State.
  std::string encode(const SessionState &State) const;

  /// Returns the state in \p Token, or TokenInvalid. An empty token stands
  /// for a new session.
  Result<SessionState> decode(const std::string &Token) const;

  /// Returns a token with \p Payload, such as a transaction handle, that is
  /// only valid for \p Purpose.
  std::string seal(std::string_view Purpose, const std::string &Payload) const;

  /// Returns the payload of a token that seal() returned, or TokenInvalid if
  /// the token was changed or is for another purpose.
  Result<std::string> open(std::string_view Purpose,
                           const std::string &Token) const;

private:
  std::vector<std::string> Keys;
};

} // namespace cicadawind

#endif
