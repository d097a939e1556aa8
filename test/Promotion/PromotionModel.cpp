#include "Promotion/PromotionModel.h"

#include <algorithm>
#include <cassert>

namespace cicadawind::test {

using Kind = PromotionEventKind;

PromotionModel::PromotionModel(Options Opts) : Opts(Opts) {
  Platform.commit();
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id)
    Platform.copy(Id);
  for (ModelVm &Vm : Vms) {
    Vm.Primary = targetName(Platform.source());
    Vm.ConfirmedTerm = 1;
  }
}

std::string PromotionModel::targetName(unsigned Id) {
  return std::string(1, static_cast<char>('a' + Id));
}

unsigned PromotionModel::targetId(const std::string &Name) {
  return static_cast<unsigned>(Name.front() - 'a');
}

bool PromotionModel::reaches(unsigned A, unsigned B) const {
  return std::none_of(Cuts.begin(), Cuts.end(), [&](unsigned Side) {
    return (Side >> A & 1U) != (Side >> B & 1U);
  });
}

bool PromotionModel::vmReaches(unsigned Vm, unsigned Target) const {
  return Platform.at(Target).Runs &&
         reaches(ModelPlatform::TargetCount + Vm, Target);
}

bool PromotionModel::vmReachesVm(unsigned A, unsigned B) const {
  return reaches(ModelPlatform::TargetCount + A,
                 ModelPlatform::TargetCount + B);
}

bool PromotionModel::isEnabled(const PromotionEvent &Event) const {
  switch (Event.Kind) {
  case Kind::Heal:
    return !Cuts.empty();
  case Kind::Commit:
    return mayCommit();
  case Kind::CarryOutOldest:
    return !InFlight.empty();
  case Kind::CarryOutNewest:
    return InFlight.size() > 1;
  case Kind::StoreAway:
    return Opts.LosesStore && !StoreIsAway;
  case Kind::StoreBack:
    return StoreIsAway;
  default:
    return Event.Target != PromotionEvent::None ? isTargetEventEnabled(Event)
                                                : isVmEventEnabled(Event);
  }
}

bool PromotionModel::isTargetEventEnabled(const PromotionEvent &Event) const {
  const ModelPlatform::Target &Target = Platform.at(Event.Target);
  switch (Event.Kind) {
  case Kind::Cut:
    return mayCut(Event);
  case Kind::Crash:
    return Target.Runs;
  case Kind::Restart:
    return !Target.Runs;
  case Kind::Follow:
    return mayCopy(Event.Target) &&
           Target.Follows < Platform.at(Platform.source()).Follows;
  case Kind::Copy:
    return mayCopy(Event.Target);
  case Kind::Leave:
    return Platform.leads(Event.Target) && !Target.IsLeaving;
  default:
    return false;
  }
}

bool PromotionModel::isVmEventEnabled(const PromotionEvent &Event) const {
  const ModelVm &Vm = Vms[Event.Vm];
  switch (Event.Kind) {
  case Kind::Notice:
    return mayNotice(Event.Vm);
  case Kind::Survey:
    return Opts.SplitsAttempts && mayAttempt(Event.Vm);
  case Kind::Decide:
    return Vm.Survey && (Vm.Reserved || !StoreIsAway);
  case Kind::Attempt:
    return mayAttempt(Event.Vm) && (Vm.Reserved || !StoreIsAway);
  case Kind::AttemptUnanswered:
    return mayAttempt(Event.Vm) && !Vm.Reserved && !StoreIsAway;
  case Kind::StepDown:
    return mayStepDown(Event.Vm);
  case Kind::Order:
  case Kind::OrderLost:
    return Vm.Decision && Vm.Orders < Opts.MaxOrders;
  case Kind::OrderInFlight:
    return Vm.Decision && Vm.Orders < Opts.MaxOrders &&
           InFlight.size() < Opts.MaxInFlight;
  case Kind::Reserve:
    return mayReserve(Event.Vm);
  default:
    return false;
  }
}

bool PromotionModel::mayCut(const PromotionEvent &Event) const {
  return Cuts.size() < Opts.MaxCuts &&
         std::none_of(Cuts.begin(), Cuts.end(), [&](unsigned Side) {
           return (Side >> Event.Target & 1U) != 0;
         });
}

bool PromotionModel::mayCommit() const {
  unsigned Source = Platform.source();
  if (!Platform.hasPrimary())
    return false;
  for (unsigned Vm = 0; Vm < VmCount; ++Vm)
    if (vmReaches(Vm, Source) && Vms[Vm].Primary == targetName(Source))
      return true;
  return false;
}

bool PromotionModel::mayCopy(unsigned Target) const {
  unsigned Source = Platform.source();
  const ModelPlatform::Target &From = Platform.at(Source);
  const ModelPlatform::Target &To = Platform.at(Target);
  return Target != Source && From.Runs && To.Runs && reaches(Source, Target) &&
         (To.Follows != From.Follows || To.Log != From.Log);
}

bool PromotionModel::mayNotice(unsigned Vm) const {
  const ModelVm &Each = Vms[Vm];
  unsigned Source = Platform.source();
  if (Platform.hasPrimary() && vmReaches(Vm, Source))
    return Each.Primary != targetName(Source) ||
           Each.ConfirmedTerm != Platform.at(Source).Follows;
  if (Each.Primary.empty())
    return false;
  unsigned Known = targetId(Each.Primary);
  return vmReaches(Vm, Known) && !Platform.leads(Known);
}

bool PromotionModel::isLeaving(unsigned Vm) const {
  const std::string &Primary = Vms[Vm].Primary;
  return !Primary.empty() && Platform.at(targetId(Primary)).IsLeaving;
}

bool PromotionModel::isLost(unsigned Vm) const {
  unsigned Primary = targetId(Vms[Vm].Primary);
  unsigned Agreeing = 0;
  for (unsigned Other = 0; Other < VmCount; ++Other) {
    if (!vmReachesVm(Vm, Other))
      continue;
    if (vmReaches(Other, Primary))
      return false;
    ++Agreeing;
  }
  return 2 * Agreeing > VmCount;
}

bool PromotionModel::mayAttempt(unsigned Vm) const {
  return Vms[Vm].Primary.empty() || isLeaving(Vm) || isLost(Vm);
}

bool PromotionModel::mayStepDown(unsigned Vm) const {
  const ModelVm &Each = Vms[Vm];
  if (!Each.Decision || !Each.IsHandOver || Each.Orders > 0)
    return false;
  unsigned Old = targetId(Each.Decision->OldPrimary);
  return Platform.leads(Old) && vmReaches(Vm, Old) &&
         Platform.at(Old).Follows < Each.Decision->Opens;
}

bool PromotionModel::isStillDue(const ModelVm &Vm) const {
  return Vm.Primary.empty() || Vm.Primary == Vm.Decision->OldPrimary ||
         Vm.Primary == Vm.Decision->Successor;
}

void PromotionModel::apply(const PromotionEvent &Event) {
  assert(isEnabled(Event) && "only an enabled event can run");
  switch (Event.Kind) {
  case Kind::Heal:
    Cuts.erase(Cuts.begin());
    return;
  case Kind::Commit:
    return Platform.commit();
  case Kind::CarryOutOldest:
    return carryOut(0);
  case Kind::CarryOutNewest:
    return carryOut(InFlight.size() - 1);
  case Kind::StoreAway:
  case Kind::StoreBack:
    StoreIsAway = !StoreIsAway;
    return;
  default:
    return Event.Target != PromotionEvent::None ? applyToTarget(Event)
                                                : applyToVm(Event);
  }
}

void PromotionModel::applyToTarget(const PromotionEvent &Event) {
  ModelPlatform::Target &Target = Platform.at(Event.Target);
  switch (Event.Kind) {
  case Kind::Cut:
    return cut(Event);
  case Kind::Crash:
  case Kind::Restart:
    Target.Runs = !Target.Runs;
    return;
  case Kind::Follow:
    return Platform.follow(Event.Target);
  case Kind::Copy:
    return Platform.copy(Event.Target);
  case Kind::Leave:
    Target.IsLeaving = true;
    return;
  default:
    return;
  }
}

void PromotionModel::applyToVm(const PromotionEvent &Event) {
  switch (Event.Kind) {
  case Kind::Notice:
    return notice(Event.Vm);
  case Kind::Survey:
    return survey(Event.Vm);
  case Kind::Decide:
    return decide(Event.Vm, true);
  case Kind::Attempt:
  case Kind::AttemptUnanswered:
    survey(Event.Vm);
    return decide(Event.Vm, Event.Kind == Kind::Attempt);
  case Kind::StepDown:
    return Platform.stepDown();
  case Kind::Reserve:
    return reserve(Event.Vm);
  default:
    return order(Event.Vm, Event.Kind);
  }
}

void PromotionModel::cut(const PromotionEvent &Event) {
  unsigned Side = 1U << Event.Target;
  if (Event.Vm != PromotionEvent::None)
    Side |= 1U << (ModelPlatform::TargetCount + Event.Vm);
  Cuts.push_back(Side);
}

void PromotionModel::notice(unsigned Vm) {
  ModelVm &Each = Vms[Vm];
  unsigned Source = Platform.source();
  bool IsProof = Platform.hasPrimary() && vmReaches(Vm, Source);
  Each.Primary = IsProof ? targetName(Source) : "";
  Each.ConfirmedTerm = IsProof ? Platform.at(Source).Follows : 0;
}

std::string PromotionModel::violation() const {
  if (!Platform.returned().empty())
    return "superseded entry " + Platform.returned() + " came back";
  if (!LogViolation.empty())
    return LogViolation;
  return Opts.ChecksTokens ? TokenViolation : "";
}

void PromotionModel::endFaults(bool CarriesOut, unsigned Down) {
  Cuts.clear();
  StoreIsAway = false;
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id)
    Platform.at(Id).Runs = Id != Down;
  while (CarriesOut && !InFlight.empty())
    carryOut(0);
  InFlight.clear();
  for (ModelVm &Vm : Vms) {
    Vm.Survey.reset();
    Vm.Decision.reset();
  }
}

bool PromotionModel::isPrimaryKnown() const {
  return std::any_of(Vms.begin(), Vms.end(), [&](const ModelVm &Vm) {
    if (Vm.ConfirmedTerm == 0)
      return false;
    unsigned Known = targetId(Vm.Primary);
    return Platform.leads(Known) && Platform.at(Known).Runs;
  });
}

void PromotionModel::recoverOnce() {
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id)
    if (mayCopy(Id))
      Platform.copy(Id);
  for (unsigned Vm = 0; Vm < VmCount; ++Vm) {
    if (mayNotice(Vm))
      notice(Vm);
    bool HasPrimary =
        Platform.hasPrimary() && Platform.at(Platform.source()).Runs;
    if (HasPrimary || !mayAttempt(Vm))
      continue;
    survey(Vm);
    decide(Vm, true);
    if (mayStepDown(Vm))
      Platform.stepDown();
    if (Vms[Vm].Decision)
      order(Vm, Kind::Order);
  }
}

bool PromotionModel::recovers(bool CarriesOut, unsigned Down) const {
  constexpr unsigned MaxRounds = 6;
  PromotionModel Copy = *this;
  Copy.endFaults(CarriesOut, Down);
  for (unsigned Round = 0; Round < MaxRounds && !Copy.isPrimaryKnown(); ++Round)
    Copy.recoverOnce();
  return Copy.isPrimaryKnown();
}

} // namespace cicadawind::test
