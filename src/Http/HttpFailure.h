#ifndef CICADAWIND_HTTP_HTTPFAILURE_H
#define CICADAWIND_HTTP_HTTPFAILURE_H

#include "Http/HttpMessage.h"

#include <string>
#include <variant>

namespace cicadawind {

/// \class HttpFailure
/// \brief A call that brought no complete response.
struct HttpFailure {
  /// Whether any byte of the request may have left this process. When false,
  /// the peer cannot have acted on it.
  bool MayHaveBeenSent = false;
  bool TimedOut = false;
  std::string Message;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

} // namespace cicadawind

#endif
