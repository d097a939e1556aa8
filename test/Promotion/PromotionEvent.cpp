#include "Promotion/PromotionEvent.h"

#include "Promotion/PromotionModel.h"

#include <stdexcept>

namespace cicadawind::test {

enum class Scope { Group, Target, Vm };

struct KindInfo {
  PromotionEventKind Kind;
  const char *Name;
  Scope Of;
};

static const KindInfo Kinds[] = {
    {PromotionEventKind::Cut, "cut", Scope::Target},
    {PromotionEventKind::Heal, "heal", Scope::Group},
    {PromotionEventKind::Crash, "crash", Scope::Target},
    {PromotionEventKind::Restart, "restart", Scope::Target},
    {PromotionEventKind::Commit, "commit", Scope::Group},
    {PromotionEventKind::Follow, "follow", Scope::Target},
    {PromotionEventKind::Copy, "copy", Scope::Target},
    {PromotionEventKind::Leave, "leave", Scope::Target},
    {PromotionEventKind::Notice, "notice", Scope::Vm},
    {PromotionEventKind::Survey, "survey", Scope::Vm},
    {PromotionEventKind::Decide, "decide", Scope::Vm},
    {PromotionEventKind::Attempt, "attempt", Scope::Vm},
    {PromotionEventKind::AttemptUnanswered, "attempt-unanswered", Scope::Vm},
    {PromotionEventKind::StepDown, "step-down", Scope::Vm},
    {PromotionEventKind::Order, "order", Scope::Vm},
    {PromotionEventKind::OrderLost, "order-lost", Scope::Vm},
    {PromotionEventKind::OrderInFlight, "order-in-flight", Scope::Vm},
    {PromotionEventKind::CarryOutOldest, "carry-out-oldest", Scope::Group},
    {PromotionEventKind::CarryOutNewest, "carry-out-newest", Scope::Group},
    {PromotionEventKind::Reserve, "reserve", Scope::Vm},
    {PromotionEventKind::StoreAway, "store-away", Scope::Group},
    {PromotionEventKind::StoreBack, "store-back", Scope::Group},
};

static void appendEvents(const KindInfo &Info,
                         std::vector<PromotionEvent> &Out) {
  if (Info.Of == Scope::Group)
    Out.push_back({.Kind = Info.Kind});
  if (Info.Of == Scope::Vm)
    for (unsigned Vm = 0; Vm < PromotionModel::VmCount; ++Vm)
      Out.push_back({.Kind = Info.Kind, .Vm = Vm});
  if (Info.Of != Scope::Target)
    return;
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id) {
    Out.push_back({.Kind = Info.Kind, .Target = Id});
    if (Info.Kind == PromotionEventKind::Cut)
      for (unsigned Vm = 0; Vm < PromotionModel::VmCount; ++Vm)
        Out.push_back({.Kind = Info.Kind, .Target = Id, .Vm = Vm});
  }
}

const std::vector<PromotionEvent> &allPromotionEvents() {
  static const std::vector<PromotionEvent> All = [] {
    std::vector<PromotionEvent> Out;
    for (const KindInfo &Info : Kinds)
      appendEvents(Info, Out);
    return Out;
  }();
  return All;
}

std::string toString(const PromotionEvent &Event) {
  std::string Out;
  for (const KindInfo &Info : Kinds)
    if (Info.Kind == Event.Kind)
      Out = Info.Name;
  if (Event.Target != PromotionEvent::None)
    Out += " " + PromotionModel::targetName(Event.Target);
  if (Event.Vm != PromotionEvent::None)
    Out += " v" + std::to_string(Event.Vm + 1);
  return Out;
}

PromotionEvent promotionEvent(const std::string &Text) {
  for (const PromotionEvent &Each : allPromotionEvents())
    if (toString(Each) == Text)
      return Each;
  throw std::out_of_range("no event: " + Text);
}

} // namespace cicadawind::test
