// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Http/HttpServer.h"

#include "Http/PartialMessageTracker.h"
#include "Http/TrackedSocket.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>
#include <poll.h>
#include <restinio/all.hpp>

#include <map>
#include <stdexcept>

namespace cicadawind {
namespace internal {

namespace asio = boost::asio;

static const Log Logger("http");

/// Size of the largest body that RESTinio reads. It is larger than any
/// MaxBodyBytes in use, so that a body beyond MaxBodyBytes gets a response with
/// the status 413 instead of a closed connection.
constexpr std::uint64_t MaxReadBodyBytes = std::size_t{16} * 1024 * 1024;
constexpr std::uint64_t MaxUrlBytes = 4096;
constexpr std::uint64_t MaxHeaderNameBytes = 256;
constexpr std::uint64_t MaxHeaderValueBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxHeaderCount = 64;
/// Time between two checks of the listener and for messages that are incomplete
/// for too long.
constexpr Duration CheckInterval = std::chrono::milliseconds(250);

/// Open connections, counted by the address of the peer.
struct PeerConnections {
  std::size_t Max = 0;
  std::size_t MaxPerPeer = 0;
  /// Number of connections that were accepted, refused ones included.
  std::uint64_t Accepted = 0;
  std::map<std::uint64_t, std::string> ById;
  std::map<std::string, std::size_t> Count;
};

/// Updates PeerConnections when a connection is opened or closed.
class ConnectionListener {
public:
  explicit ConnectionListener(std::shared_ptr<PeerConnections> Peers)
      : Peers(std::move(Peers)) {}

  // RESTinio requires this name.
  void state_changed( // NOLINT(readability-identifier-naming)
      const restinio::connection_state::notice_t &Notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            Notice.cause()))
      opened(Notice);
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      closed(Notice);
  }

private:
  void opened(const restinio::connection_state::notice_t &Notice) {
    std::string Address = Notice.remote_endpoint().address().to_string();
    Peers->ById[Notice.connection_id()] = Address;
    ++Peers->Count[Address];
  }
  void closed(const restinio::connection_state::notice_t &Notice) {
    auto It = Peers->ById.find(Notice.connection_id());
    if (It == Peers->ById.end())
      return;
    auto Counted = Peers->Count.find(It->second);
    if (--Counted->second == 0)
      Peers->Count.erase(Counted);
    Peers->ById.erase(It);
  }

  std::shared_ptr<PeerConnections> Peers;
};

/// Refuses connections beyond Max in all or MaxPerPeer of one peer. RESTinio's
/// own limiter is not used, because a connection that is refused, or that fails
/// before it is set up, uses up one of its places for good.
class PeerLimiter {
public:
  explicit PeerLimiter(std::shared_ptr<PeerConnections> Peers)
      : Peers(std::move(Peers)) {}

  restinio::ip_blocker::inspection_result_t
  inspect(const restinio::ip_blocker::incoming_info_t &Info) noexcept {
    ++Peers->Accepted;
    auto It = Peers->Count.find(Info.remote_endpoint().address().to_string());
    bool Full = Peers->ById.size() >= Peers->Max ||
                (It != Peers->Count.end() && It->second >= Peers->MaxPerPeer);
    return Full ? restinio::ip_blocker::deny() : restinio::ip_blocker::allow();
  }

private:
  std::shared_ptr<PeerConnections> Peers;
};

/// Configures RESTinio for one thread and the classes above.
struct ServerTraits : restinio::default_single_thread_traits_t {
  using connection_state_listener_t = // NOLINT(readability-identifier-naming)
      ConnectionListener;
  using ip_blocker_t = PeerLimiter; // NOLINT(readability-identifier-naming)
  using stream_socket_t =           // NOLINT(readability-identifier-naming)
      TrackedSocket;
};

static std::string messageOf(std::exception_ptr Failure) {
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &E) {
    return E.what();
  }
}

/// Returns whether a connection waits to be accepted on \p Listener.
static bool hasWaitingConnection(int Listener) {
  pollfd Poll{.fd = Listener, .events = POLLIN, .revents = 0};
  return poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLIN) != 0;
}

static HttpRequest toRequest(const restinio::request_handle_t &Incoming) {
  HttpRequest Request;
  const auto &Header = Incoming->header();
  Request.Method = Header.method().c_str();
  Request.Path = std::string(Header.path());
  Request.Peer = Incoming->remote_endpoint().address().to_string();
  Request.Body = Incoming->body();
  Header.for_each_field([&](const auto &Field) {
    Request.Headers[headerKey(Field.name())] = Field.value();
  });
  auto Query = restinio::try_parse_query<
      restinio::parse_query_traits::javascript_compatible>(Header.query());
  if (Query)
    for (const auto &[Key, Value] : *Query)
      Request.Query[std::string(Key)] = std::string(Value);
  return Request;
}

static std::string reasonOf(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 413:
    return "Payload Too Large";
  case 503:
    return "Service Unavailable";
  default:
    return "Status";
  }
}

static void respond(const restinio::request_handle_t &Incoming,
                    const HttpResponse &Response) {
  auto Status = restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(Response.Status)),
      reasonOf(Response.Status));
  auto Builder = Incoming->create_response(Status);
  Builder.append_header(restinio::http_field::content_type,
                        Response.ContentType);
  for (const auto &[Name, Value] : Response.Headers)
    Builder.append_header(Name, Value);
  Builder.set_body(Response.Body);
  Builder.done();
}

} // namespace internal

class HttpServer::Impl {
public:
  using Server = restinio::http_server_t<internal::ServerTraits>;

  Impl(boost::asio::io_context &Loop, Options NewOpts, HttpHandler NewHandler)
      : Loop(Loop), Opts(std::move(NewOpts)), Handler(std::move(NewHandler)),
        Peers(std::make_shared<internal::PeerConnections>()),
        PartialMessages(boost::asio::use_service<PartialMessageTracker>(Loop)),
        CheckTimer(Loop) {
    Peers->Max = Opts.MaxConnections;
    Peers->MaxPerPeer = Opts.MaxConnectionsPerPeer;
    Listener = std::make_unique<Server>(
        restinio::external_io_context(Loop),
        [this](auto &Settings) { configure(Settings); });
    Listener->open_async([] {},
                         [this](std::exception_ptr E) { OpenError = E; });
    // RESTinio posts the binding to the event loop. The loop is run until the
    // port is bound, because the constructor must report a failure to bind and
    // port() must be valid once it returns.
    while (Port == 0 && !OpenError)
      Loop.run_one();
    if (OpenError)
      std::rethrow_exception(OpenError);
    scheduleCheck();
  }

  std::uint16_t port() const { return Port; }

  void stop() {
    if (std::exchange(Stopped, true))
      return;
    CheckTimer.cancel();
    Listener->close_async([] {}, [](std::exception_ptr) {});
  }

private:
  template <class Settings> void configure(Settings &S) {
    S.address(Opts.Address)
        .port(Opts.Port)
        .protocol(restinio::asio_ns::ip::tcp::v4())
        .read_next_http_message_timelimit(Opts.IdleTimeout)
        .handle_request_timeout(Opts.HandlerTimeout)
        .write_http_response_timelimit(std::chrono::seconds(30))
        .buffer_size(1024)
        .connection_state_listener(
            std::make_shared<internal::ConnectionListener>(Peers))
        .ip_blocker(std::make_shared<internal::PeerLimiter>(Peers))
        .acceptor_options_setter([](auto &Options) {
          Options.set_option(
              restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](auto &Options) {
          Options.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t()
                .max_url_size(internal::MaxUrlBytes)
                .max_field_name_size(internal::MaxHeaderNameBytes)
                .max_field_value_size(internal::MaxHeaderValueBytes)
                .max_field_count(internal::MaxHeaderCount)
                .max_body_size(internal::MaxReadBodyBytes))
        .acceptor_post_bind_hook([this](auto &Acceptor) {
          Port = Acceptor.local_endpoint().port();
          ListenerHandle = Acceptor.native_handle();
        })
        .request_handler([this](restinio::request_handle_t Incoming) {
          PartialMessages.recordComplete(Port, Incoming->remote_endpoint());
          boost::asio::co_spawn(Loop, serve(std::move(Incoming)),
                                boost::asio::detached);
          return restinio::request_accepted();
        });
  }

  void scheduleCheck() {
    CheckTimer.expires_after(internal::CheckInterval);
    CheckTimer.async_wait([this](const boost::system::error_code &Code) {
      if (Code)
        return;
      PartialMessages.closeOverdue(Port, Opts.MessageTimeout);
      checkListener();
      scheduleCheck();
    });
  }

  /// Opens the listener again if RESTinio does not accept: it stops for good
  /// when an accept fails, for instance because no descriptor is free. Two
  /// checks in a row must see that, since the loop may have been busy.
  void checkListener() {
    if (ListenerHandle < 0)
      return openListener();
    bool IsWaiting = internal::hasWaitingConnection(ListenerHandle);
    bool HasAccepted =
        std::exchange(AcceptedBefore, Peers->Accepted) != Peers->Accepted;
    bool IsStalled = IsWaiting && !HasAccepted;
    if (!std::exchange(WasStalled, IsStalled) || !IsStalled)
      return;
    internal::Logger.warning("connections wait and none is accepted; opening "
                             "the listener again",
                             {{"port", std::to_string(Port)}});
    WasStalled = false;
    ListenerHandle = -1;
    // The listener counts as closed even if closing its descriptor fails.
    Listener->close_async([this] { openListener(); },
                          [this](std::exception_ptr) { openListener(); });
  }

  /// Opens the listener on the port that it had; the next check tries again if
  /// that fails.
  void openListener() {
    if (Stopped)
      return;
    Listener->open_async([] {},
                         [](std::exception_ptr E) {
                           internal::Logger.error(
                               "cannot open the listener again",
                               {{"why", internal::messageOf(E)}});
                         });
  }

  boost::asio::awaitable<void> serve(restinio::request_handle_t Incoming) {
    HttpRequest Request = internal::toRequest(Incoming);
    std::string Path = Request.Path;
    HttpResponse Response;
    if (Request.Body.size() > Opts.MaxBodyBytes) {
      Response.Status = 413;
      Response.Body = R"({"verdict":"not_run","error":{"code":"too_large",)"
                      R"("message":"the body is too large"}})";
      internal::respond(Incoming, Response);
      co_return;
    }
    try {
      Response = co_await Handler(std::move(Request));
    } catch (const std::exception &E) {
      internal::Logger.error("cannot answer a request",
                             {{"path", Path}, {"why", E.what()}});
      // The handler may have had effects before it threw, so the verdict has to
      // be "may_have_run".
      Response.Status = 500;
      Response.Body = R"({"verdict":"may_have_run","error":{"code":)"
                      R"("internal","message":"internal error"}})";
    }
    internal::respond(Incoming, Response);
  }

  boost::asio::io_context &Loop;
  Options Opts;
  HttpHandler Handler;
  std::shared_ptr<internal::PeerConnections> Peers;
  PartialMessageTracker &PartialMessages;
  boost::asio::steady_timer CheckTimer;
  std::unique_ptr<Server> Listener;
  std::exception_ptr OpenError;
  std::uint16_t Port = 0;
  /// Descriptor of the listener; negative while it is being opened again.
  int ListenerHandle = -1;
  /// Number of accepted connections at the last check.
  std::uint64_t AcceptedBefore = 0;
  /// Whether connections waited at the last check and none was accepted.
  bool WasStalled = false;
  bool Stopped = false;
};

HttpServer::HttpServer(boost::asio::io_context &Loop, Options Opts,
                       HttpHandler Handler)
    : Self(std::make_unique<Impl>(Loop, std::move(Opts), std::move(Handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return Self->port(); }

void HttpServer::stop() { Self->stop(); }

} // namespace cicadawind
