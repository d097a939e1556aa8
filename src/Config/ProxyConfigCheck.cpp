#include "Config/ProxyConfigCheck.h"

namespace cicadawind {
namespace internal {

static void checkRoute(const ProxyConfig &Config, const RouteConfig &Route,
                       std::vector<std::string> &Out) {
  std::string Where = "database '" + Route.Database + "': ";
  if (!Config.Groups.count(Route.Group))
    Out.push_back(Where + "its group '" + Route.Group +
                  "' is not listed; add the group or correct the name");
  if (Route.StatementTimeout <= Millis::zero())
    Out.push_back(Where + "statements have no time; set a time limit above 0");
  if (Route.LatencyObjective <= Millis::zero())
    Out.push_back(Where +
                  "its latency objective is 0, so every statement is refused "
                  "that does not find a free connection");
  bool Bounded = Route.Reads != Consistency::Latest;
  if (Bounded && Route.MaxStaleness <= Millis::zero())
    Out.push_back(Where + "its reads may not be old at all; allow an age, or "
                          "have it read the latest");
}

} // namespace internal

std::vector<std::string> validateConfig(const ProxyConfig &Config) {
  std::vector<std::string> Out;
  if (Config.Version == 0)
    Out.emplace_back(
        "version 0 is never made active; number versions from 1 on");
  if (Config.Routes.empty())
    Out.emplace_back("it lists no database, so every caller is refused");
  for (const auto &[Name, Route] : Config.Routes)
    internal::checkRoute(Config, Route, Out);
  for (const auto &[Name, Limits] : Config.Groups)
    if (Limits.MaxConnections == 0)
      Out.push_back("group '" + Name +
                    "': its targets take no connections; allow one or more");
  return Out;
}

} // namespace cicadawind
