#include "Membership/VmEntryCodec.h"

#include "Documents/JsonParsing.h"

namespace cicadawind {

nlohmann::json toJson(const VmEntry &Entry) {
  nlohmann::json Out{{"vm", Entry.Vm},
                     {"failure_domain", Entry.FailureDomain},
                     {"region", Entry.Region},
                     {"router", Entry.RouterPeer},
                     {"pooler", Entry.PoolerPeer},
                     {"state", Entry.Leaving ? "leaving" : "live"},
                     {"incarnation", Entry.Incarnation}};
  if (Entry.Provisional)
    Out["provisional"] = true;
  return Out;
}

VmEntry vmEntryFrom(const nlohmann::json &Json) {
  VmEntry Entry;
  Json.at("vm").get_to(Entry.Vm);
  Json.at("failure_domain").get_to(Entry.FailureDomain);
  Json.at("region").get_to(Entry.Region);
  Json.at("router").get_to(Entry.RouterPeer);
  Json.at("pooler").get_to(Entry.PoolerPeer);
  Entry.Leaving = Json.at("state") == "leaving";
  Entry.Incarnation = Json.value("incarnation", std::uint64_t{0});
  Entry.Provisional = Json.value("provisional", false);
  return Entry;
}

std::string encodeEntries(const std::vector<VmEntry> &Entries) {
  nlohmann::json Out = nlohmann::json::array();
  for (const VmEntry &Each : Entries)
    Out.push_back(toJson(Each));
  std::string Bytes;
  nlohmann::json::to_cbor(Out, Bytes);
  return Bytes;
}

Result<std::vector<VmEntry>> decodeEntries(const std::string &Bytes) {
  try {
    std::vector<VmEntry> Out;
    for (const nlohmann::json &Each : parseCbor(Bytes))
      Out.push_back(vmEntryFrom(Each));
    return Out;
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed entries: ") + E.what()};
  }
}

} // namespace cicadawind
