#include "Fakes/Statement.h"

#include <array>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace cicadawind::fakes {

struct VerbRule {
  std::string_view Verb;
  int Arguments;
  bool Writes;
};

constexpr std::array VerbRules{
    VerbRule{"GET", 1, false},  VerbRule{"SCAN", 1, false},
    VerbRule{"SHOW", 1, false}, VerbRule{"ROWS", 1, false},
    VerbRule{"WORK", 1, false}, VerbRule{"LET", 2, false},
    VerbRule{"PUT", 2, true},   VerbRule{"NEW", 2, true},
    VerbRule{"ADD", 2, true}};

static const VerbRule *ruleOf(const std::string &Verb) {
  for (const VerbRule &Rule : VerbRules)
    if (Rule.Verb == Verb)
      return &Rule;
  return nullptr;
}

Result<Statement> Statement::parse(const std::string &Text) {
  Statement Out;
  std::istringstream Parts(Text);
  std::string Part;
  while (std::getline(Parts, Part, ';')) {
    std::istringstream Words(Part);
    StatementStep Step;
    if (!(Words >> Step.Verb))
      continue;
    Words >> Step.Key;
    std::getline(Words >> std::ws, Step.Value);
    const VerbRule *Rule = ruleOf(Step.Verb);
    bool Complete = Rule && !Step.Key.empty() &&
                    (Rule->Arguments < 2 || !Step.Value.empty());
    if (!Complete)
      return Error{.Code = ErrorCode::StatementFailed,
                   .Outcome = Verdict::NotRun,
                   .Message = "cannot parse '" + Part + "'"};
    Out.Steps.push_back(Step);
  }
  if (Out.Steps.empty())
    return Error{.Code = ErrorCode::StatementFailed,
                 .Outcome = Verdict::NotRun,
                 .Message = "the statement is empty"};
  return Out;
}

Millis Statement::work() const {
  Millis Total(0);
  for (const StatementStep &Step : Steps)
    if (Step.Verb == "WORK")
      Total += Millis(std::atoll(Step.Key.c_str()));
  return Total;
}

bool Statement::writes() const {
  for (const StatementStep &Step : Steps)
    if (ruleOf(Step.Verb)->Writes)
      return true;
  return false;
}

} // namespace cicadawind::fakes
