#include "Membership/VmEntryCodec.h"

namespace cicadawind {

nlohmann::json toJson(const VmEntry &Entry) {
  return {{"vm", Entry.Vm},
          {"failure_domain", Entry.FailureDomain},
          {"region", Entry.Region},
          {"router", Entry.RouterPeer},
          {"pooler", Entry.PoolerPeer},
          {"state", Entry.Leaving ? "leaving" : "live"},
          {"incarnation", Entry.Incarnation}};
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
  return Entry;
}

} // namespace cicadawind
