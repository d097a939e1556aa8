#ifndef CICADAWIND_HTTP_HTTPMESSAGE_H
#define CICADAWIND_HTTP_HTTPMESSAGE_H

#include <algorithm>
#include <cctype>
#include <map>
#include <string>

namespace cicadawind {

/// Header fields by name. The names of received fields are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// Returns \p Name as it is stored in HttpHeaders of received messages.
inline std::string headerKey(std::string Name) {
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Name;
}

/// \class HttpRequest
/// \brief An HTTP request that was received or is to be sent.
struct HttpRequest {
  std::string Method = "POST";
  /// Path without the query.
  std::string Path;
  /// Query parameters; decoded in received requests and sent without encoding.
  std::map<std::string, std::string> Query;
  HttpHeaders Headers;
  std::string Body;
  /// IP address of the peer; only set on received requests.
  std::string Peer;

  /// Returns the value of the header field \p Name, given in lower case, or an
  /// empty string if there is none.
  std::string header(const std::string &Name) const {
    auto It = Headers.find(Name);
    return It == Headers.end() ? std::string() : It->second;
  }
};

/// \class HttpResponse
/// \brief A complete HTTP response.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  /// Used only in responses to be sent.
  std::string ContentType = "application/json";
  HttpHeaders Headers = {};

  /// Returns the value of the header field \p Name, given in lower case, or an
  /// empty string if there is none.
  std::string header(const std::string &Name) const {
    auto It = Headers.find(Name);
    return It == Headers.end() ? std::string() : It->second;
  }
};

} // namespace cicadawind

#endif
