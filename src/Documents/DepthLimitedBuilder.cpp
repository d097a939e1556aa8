#include "Documents/DepthLimitedBuilder.h"

namespace cicadawind::internal {

nlohmann::json &DepthLimitedBuilder::place(Json Value) {
  if (Enclosing.empty())
    return Root = std::move(Value);
  Json &Parent = *Enclosing.back();
  if (Parent.is_array())
    return Parent.emplace_back(std::move(Value));
  return Parent[Key] = std::move(Value);
}

bool DepthLimitedBuilder::open(Json Container) {
  if (LeftOutDepth == 0 && Enclosing.size() < MaxJsonDepth) {
    Enclosing.push_back(&place(std::move(Container)));
    return true;
  }
  if (Deep == DeepValues::Refuse) {
    ErrorText = "lists and objects are nested deeper than " +
                std::to_string(MaxJsonDepth) + " levels";
    return false;
  }
  ++LeftOutDepth;
  return true;
}

bool DepthLimitedBuilder::close() {
  if (LeftOutDepth > 0)
    --LeftOutDepth;
  else
    Enclosing.pop_back();
  return true;
}

} // namespace cicadawind::internal
