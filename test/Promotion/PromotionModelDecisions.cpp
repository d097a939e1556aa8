// The part of PromotionModel that is modelled after FencedPromotion and
// PromotionTokens.
#include "Promotion/PromotionModel.h"

#include <algorithm>
#include <utility>

namespace cicadawind::test {

void PromotionModel::survey(unsigned Vm) {
  ModelVm &Each = Vms[Vm];
  Each.Decision.reset();
  Each.Survey.reset();
  ModelSurvey Out{.OldPrimary = Each.Primary, .IsHandOver = isLeaving(Vm)};
  if (Opts.ReadsRecordFirst)
    Out.Turn = beginTurn(Each);
  unsigned Old = Out.OldPrimary.empty() ? ModelPlatform::TargetCount
                                        : targetId(Out.OldPrimary);
  Out.IsOldProved = Old < ModelPlatform::TargetCount && vmReaches(Vm, Old) &&
                    Platform.leads(Old);
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id) {
    const ModelPlatform::Target &Target = Platform.at(Id);
    std::string Name = targetName(Id);
    if (Name == Out.OldPrimary || !vmReaches(Vm, Id))
      continue;
    if (Platform.leads(Id)) {
      Each.Primary = Name;
      Each.ConfirmedTerm = 0;
      return;
    }
    Out.Candidates.push_back({.Instance = Name,
                              .Follows = Target.Follows,
                              .Received = Target.received(),
                              .IsLeaving = Target.IsLeaving});
  }
  Each.Survey = Out;
}

std::optional<PromotionTurn> PromotionModel::beginTurn(ModelVm &Vm) const {
  // A VM that knows no primary asks the store, whatever it has reserved.
  std::optional<PromotionTurn> Reserved = std::exchange(Vm.Reserved, {});
  if (Reserved && !Vm.Primary.empty())
    return Reserved;
  if (StoreIsAway)
    return std::nullopt;
  return readTurn(Vm);
}

PromotionTurn PromotionModel::readTurn(const ModelVm &Vm) const {
  PromotionTurn Out = Stored;
  ModelRecords Read{.Latest = Out.Latest, .Prepared = Out.Prepared};
  if (Vm.Void != Read)
    return Out;
  Out.Latest = Opts.KeepsSuperseded ? Vm.BeforeVoid.Latest : PromotionRecord();
  Out.Prepared =
      Opts.KeepsSuperseded ? Vm.BeforeVoid.Prepared : PromotionRecord();
  return Out;
}

PromotionEvidence
PromotionModel::evidenceFrom(const ModelVm &Vm,
                             const ModelSurvey &Survey) const {
  PromotionEvidence Out{
      .OldPrimary = Survey.OldPrimary,
      .OldPrimaryTerm = Vm.Primary == Survey.OldPrimary ? Vm.ConfirmedTerm : 0,
      .ReachesOldPrimary = Survey.IsOldProved,
      .Candidates = Survey.Candidates};
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id)
    Out.Listed.insert(targetName(Id));
  if (Opts.IsSynchronous && Opts.Flaw != PromotionFlaw::RecordsBeatLogs)
    Out.SynchronousReplicas = 1;
  Out.FinalPosition = Survey.FinalPosition;
  Out.IsDraft = Survey.IsHandOver && !Survey.FinalPosition;
  if (Opts.Flaw != PromotionFlaw::LongestLogWins)
    return Out;
  Out.OldPrimaryTerm = 0;
  for (SuccessorCandidate &Each : Out.Candidates)
    Each.Follows = Platform.at(Platform.source()).Follows;
  return Out;
}

ModelRecords PromotionModel::recordsFor(const ModelVm &Vm,
                                        const PromotionTurn &Turn) const {
  bool IsIgnored = (Opts.Flaw == PromotionFlaw::UnknownPrimaryIgnoresRecord &&
                    Vm.Primary.empty()) ||
                   (Opts.Flaw == PromotionFlaw::ReservationWithoutRecord &&
                    Turn.Reserved.has_value());
  if (IsIgnored)
    return {};
  return {.Latest = Turn.Latest, .Prepared = Turn.Prepared};
}

void PromotionModel::store(ModelVm &Vm, const ModelRecords &Records,
                           const ModelRecords &Before, std::uint64_t Claims) {
  Stored = {.Latest = Records.Latest,
            .Prepared = Records.Prepared,
            .Claims = Claims,
            .Version = Stored.Version + 1};
  Vm.Void = Records;
  Vm.BeforeVoid = Before;
}

std::optional<PromotionClaim> PromotionModel::claim(ModelVm &Vm,
                                                    const PromotionTurn &Turn,
                                                    PromotionRecord Record,
                                                    bool MayOrderNamed) {
  if (Turn.Reserved)
    return claimReserved(Vm, Turn, Record, MayOrderNamed);
  if (StoreIsAway || Turn.Version != Stored.Version)
    return std::nullopt;
  Record.Claim = Turn.Claims + 1;
  store(Vm, {.Latest = Record}, recordsFor(Vm, Turn), Record.Claim);
  return PromotionClaim{.Token = Stored.Claims, .Decision = Record};
}

std::optional<PromotionClaim>
PromotionModel::claimReserved(ModelVm &Vm, const PromotionTurn &Turn,
                              PromotionRecord Record, bool MayOrderNamed) {
  Record.Claim = Turn.Claims;
  PromotionClaim Out{.Token = *Turn.Reserved, .Decision = Record};
  if (Opts.Flaw == PromotionFlaw::ReservationWithoutRecord ||
      (Opts.Flaw == PromotionFlaw::ReservationNamesNobody && StoreIsAway))
    return Out;
  bool IsNamed = Record.Successor == Turn.Named.Successor;
  if (MayOrderNamed && (IsNamed || StoreIsAway)) {
    Out.Decision = Turn.Named;
    return Out;
  }
  if (StoreIsAway || Turn.Version != Stored.Version)
    return std::nullopt;
  store(Vm, {.Latest = Record}, recordsFor(Vm, Turn), Record.Claim);
  return Out;
}

PromotionEvidence PromotionModel::reservationEvidence(unsigned Vm) const {
  PromotionEvidence Out{.OldPrimary = Vms[Vm].Primary,
                        .OldPrimaryTerm = Vms[Vm].ConfirmedTerm};
  for (unsigned Id = 0; Id < ModelPlatform::TargetCount; ++Id) {
    std::string Name = targetName(Id);
    Out.Listed.insert(Name);
    if (Name != Out.OldPrimary && vmReaches(Vm, Id) &&
        !Platform.at(Id).IsLeaving)
      Out.Candidates.push_back({.Instance = Name});
  }
  return Out;
}

bool PromotionModel::mayReserve(unsigned Vm) const {
  const ModelVm &Each = Vms[Vm];
  return !Each.Reserved && !StoreIsAway && Each.ConfirmedTerm > 0 &&
         !reservationEvidence(Vm).Candidates.empty();
}

void PromotionModel::reserve(unsigned Vm) {
  ModelVm &Each = Vms[Vm];
  Each.Survey.reset();
  Each.Decision.reset();
  PromotionTurn Turn = readTurn(Each);
  std::optional<SuccessionReservation> Plan =
      planReservation(reservationEvidence(Vm), Turn.Latest, Turn.Prepared);
  if (!Plan)
    return;
  std::uint64_t Claims = Turn.Claims + 1;
  Plan->Prepared.Claim = Claims;
  if (Plan->Latest != Turn.Latest)
    Plan->Latest.Claim = Claims;
  store(Each, {.Latest = Plan->Latest, .Prepared = Plan->Prepared},
        {.Latest = Plan->Latest, .Prepared = Turn.Prepared}, Claims);
  Each.Reserved = Stored;
  Each.Reserved->Prepared = Turn.Prepared;
  Each.Reserved->Reserved = Claims;
  Each.Reserved->Named = Plan->Prepared;
  Each.Reserved->Replaces = Plan->Replaces;
}

void PromotionModel::adopt(ModelVm &Vm, const ModelSurvey &Survey,
                           const PromotionClaim &Claimed) {
  Vm.Decision = PromotionDecision{.OldPrimary = Survey.OldPrimary,
                                  .Successor = Claimed.Decision.Successor,
                                  .Received = Claimed.Decision.Received,
                                  .Opens = Claimed.Decision.Opens,
                                  .Token = Claimed.Token};
  Vm.IsHandOver = Survey.IsHandOver;
  Vm.Orders = 0;
  if (!Vm.IsHandOver || Survey.FinalPosition)
    checkLog(Vm);
}

void PromotionModel::checkLog(const ModelVm &Vm) {
  std::string Lacked = Platform.lackedBy(targetId(Vm.Decision->Successor));
  if (Opts.IsSynchronous && !Lacked.empty() && LogViolation.empty())
    LogViolation =
        Vm.Decision->Successor + " was chosen without entry " + Lacked;
}

bool PromotionModel::settleHandOver(unsigned Vm) {
  ModelVm &Each = Vms[Vm];
  if (!Opts.IsSynchronous || !Each.IsHandOver || Each.Orders > 0)
    return true;
  unsigned Old = targetId(Each.Decision->OldPrimary);
  if (Opts.Flaw == PromotionFlaw::HandOverIgnoresFinalPosition) {
    checkLog(Each);
    return true;
  }
  if (Platform.leads(Old) || !vmReaches(Vm, Old))
    return false;
  PromotionDecision Before = *Each.Decision;
  std::string Primary = std::exchange(Each.Primary, Before.OldPrimary);
  survey(Vm);
  std::optional<ModelSurvey> Survey = std::exchange(Each.Survey, {});
  if (!Survey)
    return false;
  Each.Primary = Primary;
  Survey->IsHandOver = true;
  Survey->FinalPosition = Platform.at(Old).received();
  bool IsSettled = std::any_of(
      Survey->Candidates.begin(), Survey->Candidates.end(),
      [&](const SuccessorCandidate &Candidate) {
        return Candidate.Instance == Before.Successor &&
               mayBeAhead(evidenceFrom(Each, *Survey), Candidate).empty();
      });
  if (!IsSettled) {
    decideOnce(Each, *Survey, true);
    return Each.Decision.has_value();
  }
  Each.Decision = Before;
  checkLog(Each);
  return true;
}

bool PromotionModel::decideOnce(ModelVm &Vm, const ModelSurvey &Survey,
                                bool IsAnswered) {
  std::optional<PromotionTurn> Turn =
      Opts.ReadsRecordFirst ? Survey.Turn : beginTurn(Vm);
  if (!Turn)
    return false;
  PromotionEvidence Evidence = evidenceFrom(Vm, Survey);
  ModelRecords Records = recordsFor(Vm, *Turn);
  SuccessionVerdict Verdict =
      decideSuccession(Evidence, Records.Latest, Records.Prepared);
  const auto *Choice = std::get_if<SuccessionChoice>(&Verdict);
  bool IsReserved = Turn->Reserved.has_value();
  if (!Choice) {
    const auto *Presumed = std::get_if<PresumedPrimary>(&Verdict);
    if (Presumed && !IsReserved && Vm.Primary != Presumed->Instance) {
      Vm.Primary = Presumed->Instance;
      Vm.ConfirmedTerm = 0;
    }
    return IsReserved;
  }
  bool MayOrderNamed =
      IsReserved &&
      mayOrderNamed(Evidence, Records.Latest, Turn->Named, Choice->Successor);
  std::optional<PromotionClaim> Claimed =
      claim(Vm, *Turn,
            {.Successor = Choice->Successor.Instance,
             .Received = Choice->Successor.Received,
             .Opens = Choice->Opens},
            MayOrderNamed);
  if (Claimed && IsAnswered)
    adopt(Vm, Survey, *Claimed);
  else if (Claimed)
    Vm.Void.reset();
  return !Claimed && IsReserved;
}

void PromotionModel::decide(unsigned Vm, bool IsAnswered) {
  ModelVm &Each = Vms[Vm];
  std::optional<ModelSurvey> Survey = std::exchange(Each.Survey, {});
  if (!Survey || !decideOnce(Each, *Survey, IsAnswered))
    return;
  // The record that came with a reserved token may be outdated.
  if (Opts.ReadsRecordFirst) {
    survey(Vm);
    Survey = std::exchange(Each.Survey, {});
  }
  if (Survey)
    decideOnce(Each, *Survey, IsAnswered);
}

void PromotionModel::checkOrder(ModelVm &Vm) {
  const PromotionDecision &Decision = *Vm.Decision;
  if (Vm.Orders == 0) {
    Vm.FirstTarget = Decision.Successor;
    Vm.FirstToken = Decision.Token;
  }
  if (Vm.FirstTarget != Decision.Successor || Vm.FirstToken != Decision.Token)
    TokenViolation = "a decision was ordered with two targets or tokens";
  if (TokenTargets.size() <= Decision.Token)
    TokenTargets.resize(Decision.Token + 1, ' ');
  char &Used = TokenTargets[Decision.Token];
  if (Used != ' ' && Used != Decision.Successor.front())
    TokenViolation = "one token for two targets";
  Used = Decision.Successor.front();
}

void PromotionModel::order(unsigned Index, PromotionEventKind Kind) {
  ModelVm &Vm = Vms[Index];
  if (!isStillDue(Vm) || !settleHandOver(Index)) {
    Vm.Decision.reset();
    return;
  }
  if (Opts.Flaw == PromotionFlaw::RepeatClaimsToken && Vm.Orders > 0 &&
      !StoreIsAway) {
    ++Stored.Version;
    Vm.Decision->Token = ++Stored.Claims;
  }
  checkOrder(Vm);
  ++Vm.Orders;
  Order Sent{.Target = targetId(Vm.Decision->Successor),
             .Token = Vm.Decision->Token};
  bool IsAnswered = Kind == PromotionEventKind::Order;
  if (IsAnswered)
    Platform.promote(Sent.Target, Sent.Token);
  Vm.Void.reset();
  if (IsAnswered)
    Vm.Decision.reset();
  if (Kind == PromotionEventKind::OrderInFlight)
    InFlight.push_back(Sent);
}

void PromotionModel::carryOut(std::size_t Index) {
  auto At = InFlight.begin() + static_cast<std::ptrdiff_t>(Index);
  Order Sent = *At;
  InFlight.erase(At);
  Platform.promote(Sent.Target, Sent.Token);
}

static void append(std::string &Out, std::uint64_t Number) {
  Out += static_cast<char>(Number);
}

static void append(std::string &Out, LogPosition Position) {
  append(Out, Position.WrittenIn);
  append(Out, Position.Index);
}

static void append(std::string &Out, const PromotionRecord &Record) {
  append(Out, Record.Claim);
  append(Out, Record.Successor.empty() ? 0 : Record.Successor.front());
  append(Out, Record.Received);
  append(Out, Record.Opens);
}

static void append(std::string &Out, const std::string &Name) {
  Out += Name;
  Out += '\0';
}

static void append(std::string &Out, const ModelRecords &Records) {
  append(Out, Records.Latest);
  append(Out, Records.Prepared);
}

static void append(std::string &Out, const ModelSurvey &Survey) {
  append(Out, Survey.OldPrimary);
  append(Out, (Survey.IsHandOver ? 1U : 0U) | (Survey.IsOldProved ? 2U : 0U));
  for (const SuccessorCandidate &Each : Survey.Candidates) {
    append(Out, Each.Instance);
    append(Out, Each.Follows);
    append(Out, Each.Received);
    append(Out, Each.IsLeaving ? 1 : 0);
  }
}

static void append(std::string &Out, const PromotionDecision &Decision) {
  append(Out, Decision.OldPrimary);
  append(Out, Decision.Successor);
  append(Out, Decision.Received);
  append(Out, Decision.Opens);
  append(Out, Decision.Token);
}

static void append(std::string &Out, const PromotionTurn &Reserved,
                   std::uint64_t StoredVersion) {
  append(Out, Reserved.Latest);
  append(Out, Reserved.Prepared);
  append(Out, Reserved.Named);
  append(Out, Reserved.Replaces);
  append(Out, Reserved.Claims);
  append(Out, Reserved.Version == StoredVersion ? 1 : 0);
}

/// Returns what distinguishes \p Vm, without its name.
static std::string keyOf(const ModelVm &Vm, std::uint64_t StoredVersion) {
  std::string Out;
  append(Out, Vm.Primary);
  append(Out, Vm.ConfirmedTerm);
  append(Out, (Vm.Reserved ? 1U : 0U) | (Vm.Void ? 2U : 0U) |
                  (Vm.Survey ? 4U : 0U) | (Vm.Decision ? 8U : 0U));
  if (Vm.Reserved)
    append(Out, *Vm.Reserved, StoredVersion);
  if (Vm.Void) {
    append(Out, *Vm.Void);
    append(Out, Vm.BeforeVoid);
  }
  if (Vm.Decision) {
    append(Out, *Vm.Decision);
    append(Out, Vm.IsHandOver ? 1 : 0);
    append(Out, Vm.Orders);
  }
  if (Vm.Survey)
    append(Out, *Vm.Survey);
  if (Vm.Survey && Vm.Survey->Turn)
    append(Out, *Vm.Survey->Turn, StoredVersion);
  return Out;
}

std::string PromotionModel::key() const {
  std::string Out;
  Platform.appendKey(Out);
  append(Out, StoreIsAway ? 1 : 0);
  append(Out, Stored.Claims);
  append(Out, Stored.Latest);
  append(Out, Stored.Prepared);
  for (unsigned Side : Cuts)
    append(Out, Side & ((1U << ModelPlatform::TargetCount) - 1));
  for (const Order &Each : InFlight) {
    append(Out, Each.Target + 1);
    append(Out, Each.Token);
  }
  std::array<std::string, VmCount> Keys;
  for (unsigned Vm = 0; Vm < VmCount; ++Vm) {
    Keys[Vm] = keyOf(Vms[Vm], Stored.Version);
    for (unsigned Side : Cuts)
      append(Keys[Vm], Side >> (ModelPlatform::TargetCount + Vm) & 1U);
  }
  std::sort(Keys.begin(), Keys.end());
  for (const std::string &Each : Keys)
    append(Out, Each);
  return Out;
}

} // namespace cicadawind::test
