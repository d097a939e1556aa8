#ifndef CICADAWIND_RPC_RPCDISPATCHER_H
#define CICADAWIND_RPC_RPCDISPATCHER_H

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadawind {

/// \class RpcDispatcher
/// \brief Answers JSON-RPC 2.0 requests with registered methods, over
/// libjsonrpccpp's server half.
///
/// Used for the control calls between daemons. Methods take and return a JSON
/// object and run at once, without waiting. Not thread safe.
class RpcDispatcher {
public:
  using Method = std::function<nlohmann::json(const nlohmann::json &Params)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;

  void add(const std::string &Name, Method Run);

  /// Text of the response to the request text \p Request.
  std::string handle(const std::string &Request);

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

/// Text of a request for \p Method with \p Params.
std::string rpcRequest(const std::string &Method, const nlohmann::json &Params);

/// Result held by the response text \p Response; null when it holds an error
/// or is malformed.
nlohmann::json rpcResult(const std::string &Response);

} // namespace cicadawind

#endif
