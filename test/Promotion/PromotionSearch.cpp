#include "Promotion/PromotionSearch.h"

#include "Core/Random.h"

#include <algorithm>
#include <random>
#include <string_view>

namespace cicadawind::test {

PromotionModel PromotionSearch::play(const Trace &Events) const {
  PromotionModel Model(Opts);
  for (const PromotionEvent &Each : Events)
    if (Model.isEnabled(Each))
      Model.apply(Each);
  return Model;
}

PromotionSearch::Trace PromotionSearch::eventsTo(const Trace &Start,
                                                 std::size_t Index) const {
  Trace Out;
  for (; Index != 0; Index = Nodes[Index].Parent)
    Out.push_back(allPromotionEvents()[Nodes[Index].Event]);
  Out.insert(Out.end(), Start.rbegin(), Start.rend());
  std::reverse(Out.begin(), Out.end());
  return Out;
}

bool PromotionSearch::expand(const Trace &Start, std::size_t Index) {
  const std::vector<PromotionEvent> &All = allPromotionEvents();
  PromotionModel From = play(eventsTo(Start, Index));
  for (std::size_t Event = 0; Event < All.size(); ++Event) {
    if (!From.isEnabled(All[Event]))
      continue;
    PromotionModel To = From;
    To.apply(All[Event]);
    if (!Seen.insert(hashText(To.key())).second)
      continue;
    Nodes.push_back({.Parent = static_cast<std::uint32_t>(Index),
                     .Event = static_cast<std::uint8_t>(Event)});
    if (!To.violation().empty())
      return true;
  }
  return false;
}

PromotionSearch::Outcome PromotionSearch::breadthFirst(const Trace &Start,
                                                       unsigned MaxDepth,
                                                       std::size_t MaxStates) {
  Nodes.assign(1, Node());
  Seen = {hashText(play(Start).key())};
  Outcome Out;
  std::size_t Next = 0;
  while (Out.CompleteDepth < MaxDepth) {
    for (std::size_t End = Nodes.size(); Next < End; ++Next) {
      if (Nodes.size() > MaxStates) {
        Out.States = Nodes.size();
        return Out;
      }
      if (!expand(Start, Next))
        continue;
      Out.States = Nodes.size();
      Out.Events = eventsTo(Start, Nodes.size() - 1);
      Out.Violation = play(Out.Events).violation();
      return Out;
    }
    ++Out.CompleteDepth;
  }
  Out.States = Nodes.size();
  return Out;
}

/// Returns all events, one list for each kind, so that a walk draws a kind with
/// many events as often as any other.
static std::vector<PromotionSearch::Trace> eventsByKind() {
  std::vector<PromotionSearch::Trace> Out;
  for (const PromotionEvent &Each : allPromotionEvents()) {
    if (Out.empty() || Out.back().front().Kind != Each.Kind)
      Out.emplace_back();
    Out.back().push_back(Each);
  }
  return Out;
}

PromotionSearch::Outcome PromotionSearch::walk(std::uint64_t Seed,
                                               unsigned Length) const {
  std::vector<Trace> Kinds = eventsByKind();
  std::mt19937_64 Engine(Seed);
  PromotionModel Model(Opts);
  Outcome Out;
  while (Out.Events.size() < Length && Out.Violation.empty()) {
    const Trace &Kind = Kinds[Engine() % Kinds.size()];
    const PromotionEvent &Each = Kind[Engine() % Kind.size()];
    if (!Model.isEnabled(Each))
      continue;
    Model.apply(Each);
    Out.Events.push_back(Each);
    Out.Violation = Model.violation();
  }
  Out.States = Out.Events.size();
  return Out;
}

PromotionSearch::Outcome PromotionSearch::shorten(Trace Events) const {
  std::string Violation = play(Events).violation();
  for (bool HasChanged = true; HasChanged;) {
    HasChanged = false;
    for (std::size_t I = Events.size(); I-- > 0;) {
      Trace Shorter = Events;
      Shorter.erase(Shorter.begin() + static_cast<std::ptrdiff_t>(I));
      std::string Found = play(Shorter).violation();
      if (Found.empty())
        continue;
      Violation = Found;
      Events = Shorter;
      HasChanged = true;
    }
  }
  return {.Violation = Violation, .Events = Events, .States = Events.size()};
}

PromotionSearch::Trace
PromotionSearch::parse(const std::vector<std::string> &Texts) {
  Trace Out;
  for (const std::string &Each : Texts)
    Out.push_back(promotionEvent(Each));
  return Out;
}

std::string PromotionSearch::toString(const Trace &Events) {
  std::string Out;
  for (const PromotionEvent &Each : Events)
    Out += (Out.empty() ? "" : "; ") + test::toString(Each);
  return Out;
}

} // namespace cicadawind::test
