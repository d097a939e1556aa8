// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Http/HttpConnection.h"

#include <boost/asio.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <charconv>
#include <optional>

namespace cicadawind {
namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Size of the largest response body that is accepted.
constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;

static std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *First = Address.data() + Colon + 1;
  const char *Last = Address.data() + Address.size();
  if (std::from_chars(First, Last, Port).ptr != Last)
    return std::nullopt;
  boost::system::error_code Code;
  asio::ip::address Ip = asio::ip::make_address(Address.substr(0, Colon), Code);
  if (Code)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

static std::string targetOf(const HttpRequest &Request) {
  std::string Target = Request.Path;
  char Separator = '?';
  for (const auto &[Key, Value] : Request.Query) {
    Target += Separator + Key + "=" + Value;
    Separator = '&';
  }
  return Target;
}

} // namespace internal

class HttpConnection::Impl {
public:
  Impl(boost::asio::io_context &Loop, std::string NewAddress)
      : Address(std::move(NewAddress)), Stream(Loop) {}

  boost::asio::awaitable<bool> connect(Duration Timeout) {
    auto Endpoint = internal::parseEndpoint(Address);
    if (!Endpoint)
      co_return false;
    boost::system::error_code Code;
    Stream.expires_after(Timeout);
    co_await Stream.async_connect(
        *Endpoint,
        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    Stream.expires_never();
    if (Code) {
      close();
      co_return false;
    }
    Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Code);
    Connected = true;
    co_return true;
  }

  boost::asio::awaitable<HttpResult> call(HttpRequest Request,
                                          Duration Timeout) {
    namespace http = internal::http;
    if (!isOpen()) {
      close();
      co_return HttpFailure{.Message = "not connected to " + Address};
    }
    http::request<http::string_body> Out(http::string_to_verb(Request.Method),
                                         internal::targetOf(Request), 11);
    Out.set(http::field::host, Address);
    Out.set(http::field::content_type, "application/json");
    for (const auto &[Name, Value] : Request.Headers)
      Out.set(Name, Value);
    Out.body() = std::move(Request.Body);
    Out.prepare_payload();
    boost::system::error_code Code;
    Stream.expires_after(Timeout);
    LastBytes = co_await http::async_write(
        Stream, Out,
        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    if (Code)
      co_return failure(Code);
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(internal::MaxResponseBytes);
    LastBytes += co_await http::async_read(
        Stream, Buffer, Parser,
        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    if (Code)
      co_return failure(Code);
    Stream.expires_never();
    auto Answer = Parser.release();
    if (!Answer.keep_alive())
      close();
    HttpResponse Response;
    Response.Status = static_cast<int>(Answer.result_int());
    Response.Body = std::move(Answer.body());
    for (const auto &Field : Answer)
      Response.Headers[headerKey(std::string(Field.name_string()))] =
          std::string(Field.value());
    co_return Response;
  }

  bool isOpen() {
    if (!Connected || Buffer.size() != 0)
      return false;
    char Byte = 0;
    ssize_t Got = ::recv(Stream.socket().native_handle(), &Byte, 1,
                         MSG_PEEK | MSG_DONTWAIT);
    // Between calls a usable connection has nothing to read. Both an end of
    // stream and an unexpected response make the connection unusable.
    return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void close() {
    boost::system::error_code Ignored;
    Stream.socket().close(Ignored);
    Connected = false;
  }

  const std::string Address;
  std::uint64_t LastBytes = 0;

private:
  HttpFailure failure(const boost::system::error_code &Code) {
    close();
    bool TimedOut = Code == internal::beast::error::timeout;
    return HttpFailure{.MayHaveBeenSent = true,
                       .TimedOut = TimedOut,
                       .Message = Address + ": " + Code.message()};
  }

  internal::beast::tcp_stream Stream;
  internal::beast::flat_buffer Buffer;
  bool Connected = false;
};

HttpConnection::HttpConnection(boost::asio::io_context &Loop,
                               std::string Address)
    : Self(std::make_shared<Impl>(Loop, std::move(Address))) {}

HttpConnection::~HttpConnection() { Self->close(); }

boost::asio::awaitable<bool> HttpConnection::connect(Duration Timeout) {
  std::shared_ptr<Impl> KeepAlive = Self;
  co_return co_await KeepAlive->connect(Timeout);
}

boost::asio::awaitable<HttpResult> HttpConnection::call(HttpRequest Request,
                                                        Duration Timeout) {
  std::shared_ptr<Impl> KeepAlive = Self;
  co_return co_await KeepAlive->call(std::move(Request), Timeout);
}

bool HttpConnection::isOpen() const { return Self->isOpen(); }

void HttpConnection::close() { Self->close(); }

std::uint64_t HttpConnection::lastCallBytes() const { return Self->LastBytes; }

const std::string &HttpConnection::address() const { return Self->Address; }

} // namespace cicadawind
