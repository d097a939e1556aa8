#ifndef CICADAWIND_HTTP_HTTPFAILURE_H
#define CICADAWIND_HTTP_HTTPFAILURE_H

#include "Http/HttpMessage.h"

#include <string>
#include <variant>

namespace cicadawind {

/// \class HttpFailure
/// \brief Failure of a call that returned no complete response.
struct HttpFailure {
  /// Whether any byte of the request may have left this process. If false, the
  /// peer cannot have acted on the request.
  bool MayHaveBeenSent = false;
  /// Whether the time for the call expired; not set if no connection could be
  /// made in time.
  bool TimedOut = false;
  /// Whether the call was made on a connection of an earlier call.
  bool OnKeptConnection = false;
  std::string Message;
};

/// Result of a call.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

} // namespace cicadawind

#endif
