#include "Rpc/RpcDispatcher.h"

#include "Documents/JsonParsing.h"

#include <json/json.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace cicadawind {
namespace internal {

static nlohmann::json toNlohmann(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return parseJson(Json::writeString(Writer, Value));
}

static Json::Value toJsonCpp(const nlohmann::json &Value) {
  Json::Value Out;
  std::string Text = Value.dump();
  Json::CharReaderBuilder Builder;
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Reader->parse(Text.data(), Text.data() + Text.size(), &Out, nullptr);
  return Out;
}

} // namespace internal

class RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
public:
  Impl()
      : Handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void add(const std::string &Name, Method MethodHandler) {
    jsonrpc::Procedure Declared(Name, jsonrpc::PARAMS_BY_NAME,
                                jsonrpc::JSON_OBJECT, nullptr);
    Handler->AddProcedure(Declared);
    Methods[Name] = std::move(MethodHandler);
  }

  std::string handle(const std::string &Request) {
    std::string Response;
    Handler->HandleRequest(Request, Response);
    return Response;
  }

  void HandleMethodCall( // NOLINT(readability-identifier-naming)
      jsonrpc::Procedure &CalledProcedure, const Json::Value &Input,
      Json::Value &Output) override {
    const Method &MethodHandler =
        Methods.at(CalledProcedure.GetProcedureName());
    Output = internal::toJsonCpp(MethodHandler(internal::toNlohmann(Input)));
  }

  void HandleNotificationCall( // NOLINT(readability-identifier-naming)
      jsonrpc::Procedure &, const Json::Value &) override {}

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> Handler;
  std::map<std::string, Method> Methods;
};

RpcDispatcher::RpcDispatcher() : Self(std::make_unique<Impl>()) {}
RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string &Name, Method MethodHandler) {
  Self->add(Name, std::move(MethodHandler));
}

std::string RpcDispatcher::handle(const std::string &Request) {
  return Self->handle(Request);
}

std::string rpcRequest(const std::string &Method,
                       const nlohmann::json &Params) {
  nlohmann::json Json{
      {"jsonrpc", "2.0"}, {"id", 1}, {"method", Method}, {"params", Params}};
  return Json.dump();
}

nlohmann::json rpcResult(const std::string &Response) {
  nlohmann::json Json = tryParseJson(Response);
  if (!Json.is_object() || !Json.contains("result"))
    return nullptr;
  return Json["result"];
}

} // namespace cicadawind
