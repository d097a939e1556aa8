#ifndef CICADAWIND_HTTP_HTTPMESSAGE_H
#define CICADAWIND_HTTP_HTTPMESSAGE_H

#include <map>
#include <string>

namespace cicadawind {

/// Header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

/// \class HttpRequest
/// \brief A request, received or to be sent.
struct HttpRequest {
  std::string Method = "POST";
  /// Path without the query.
  std::string Path;
  /// Query parameters, decoded.
  std::map<std::string, std::string> Query;
  HttpHeaders Headers;
  std::string Body;
  /// Address of the peer, on received requests.
  std::string Peer;

  /// Value of header \p Name (lower case), or empty.
  std::string header(const std::string &Name) const {
    auto It = Headers.find(Name);
    return It == Headers.end() ? std::string() : It->second;
  }
};

/// \class HttpResponse
/// \brief A complete response.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  HttpHeaders Headers = {};
};

} // namespace cicadawind

#endif
