#ifndef CICADAWIND_TEST_EMULATOR_EMULATEDSTORE_H
#define CICADAWIND_TEST_EMULATOR_EMULATEDSTORE_H

#include "Async/AsyncSignal.h"
#include "Fakes/FakeHttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadawind::emulator {

/// Faults that the emulated store injects.
struct StoreFaults {
  /// Closes connections without a response.
  bool Outage = false;
  /// HTTP status with which every call is refused; 0 for none.
  int Refusal = 0;
  /// Number of later writes and promotions that take effect but whose response
  /// is dropped.
  int LoseAnswers = 0;
  /// Number of objects in one page of a list.
  std::size_t PageSize = 500;
};

/// \class EmulatedStore
/// \brief Emulates the platform's metadata store and promotion call over HTTP.
class EmulatedStore {
public:
  /// Executes a request to promote an instance; returns false to refuse it.
  using PromoteHook = std::function<bool(const std::string &Group,
                                         const std::string &Instance)>;
  /// Returns the response to a request for a path below /admin.
  using AdminHook = std::function<nlohmann::json(const HttpRequest &Request)>;

  EmulatedStore(boost::asio::io_context &Loop, const std::string &Address,
                std::uint16_t Port);

  std::uint16_t port() const { return Server.port(); }

  /// Writes an object as the operator or an instance would. An object whose
  /// spec is unchanged keeps its revision.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  bool contains(const std::string &Kind, const std::string &Name) const {
    return Objects.count({Kind, Name}) != 0;
  }
  /// Drops the history of changes, so that watches from earlier revisions get
  /// the status 410.
  void compact();
  void setRevision(std::uint64_t Next) { Revision = Next; }
  /// Keeps a copy of all objects, to which restoreCopy() returns: what was
  /// written since is lost, revisions go back and a new era begins.
  void keepCopy();
  void restoreCopy();

  void onPromote(PromoteHook Hook) { Promote = std::move(Hook); }
  void onAdmin(AdminHook Hook) { Admin = std::move(Hook); }

  StoreFaults Faults;
  /// Number of calls by operation, such as "list" or "watch".
  std::map<std::string, std::uint64_t> Calls;

private:
  using ObjectKey = std::pair<std::string, std::string>;
  struct Event {
    std::uint64_t Revision = 0;
    std::string Kind;
    bool Removed = false;
    nlohmann::json Object;
  };

  /// Responds to a call and names the era in the response.
  boost::asio::awaitable<HttpResponse> handle(HttpRequest Request,
                                              fakes::ResponseAction &Action);
  boost::asio::awaitable<HttpResponse> execute(HttpRequest Request,
                                               fakes::ResponseAction &Action);
  boost::asio::awaitable<HttpResponse> get(const HttpRequest &Request,
                                           std::string Kind, std::string Name);
  boost::asio::awaitable<HttpResponse> watch(const HttpRequest &Request,
                                             std::string Kind);
  HttpResponse list(const HttpRequest &Request, const std::string &Kind);
  HttpResponse write(const HttpRequest &Request, const std::string &Kind,
                     const std::string &Name, fakes::ResponseAction &Action);
  HttpResponse erase(const HttpRequest &Request, const std::string &Kind,
                     const std::string &Name, fakes::ResponseAction &Action);
  HttpResponse promote(const HttpRequest &Request,
                       fakes::ResponseAction &Action);

  AsyncSignal Changed;
  std::map<ObjectKey, nlohmann::json> Objects;
  std::vector<Event> History;
  std::uint64_t Revision = 100;
  /// Oldest revision from which History is complete.
  std::uint64_t OldestKept = 0;
  /// Objects and revision at the last keepCopy().
  struct Copy {
    std::map<ObjectKey, nlohmann::json> Objects;
    std::vector<Event> History;
    std::uint64_t Revision = 0;
  };
  Copy Kept;
  std::uint64_t Era = 1;
  std::map<std::string, std::uint64_t> HighestToken;
  PromoteHook Promote;
  AdminHook Admin;
  fakes::FakeHttpServer Server;
};

} // namespace cicadawind::emulator

#endif
