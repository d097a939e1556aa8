#ifndef CICADAWIND_RPC_RPCDISPATCHER_H
#define CICADAWIND_RPC_RPCDISPATCHER_H

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadawind {

/// \class RpcDispatcher
/// \brief Dispatches JSON-RPC 2.0 requests to registered methods, using the
/// server side of libjsonrpccpp.
///
/// Daemons use it to call each other. Methods take and return a JSON object.
/// They run inside handle() and must not block. Not thread safe.
class RpcDispatcher {
public:
  using Method = std::function<nlohmann::json(const nlohmann::json &Params)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;

  /// Registers a method that takes its parameters by name.
  void add(const std::string &Name, Method MethodHandler);

  /// Runs the method that the JSON text \p Request names and returns the text
  /// of the response. An invalid request gives a JSON-RPC error response.
  std::string handle(const std::string &Request);

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

/// Returns the text of a request for \p Method with \p Params.
std::string rpcRequest(const std::string &Method, const nlohmann::json &Params);

/// Returns the result in the response text \p Response; null if the response
/// contains an error or is malformed.
nlohmann::json rpcResult(const std::string &Response);

} // namespace cicadawind

#endif
