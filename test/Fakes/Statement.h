#ifndef CICADAWIND_TEST_FAKES_STATEMENT_H
#define CICADAWIND_TEST_FAKES_STATEMENT_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <string>
#include <vector>

namespace cicadawind::fakes {

/// One step of a stand-in statement.
struct StatementStep {
  std::string Verb;
  std::string Key;
  std::string Value;
};

/// \class Statement
/// \brief The stand-in databases' small statement language.
///
/// Steps are separated by ';'. Reading: GET key, SCAN prefix, SHOW variable,
/// ROWS count, WORK milliseconds. Writing: PUT key value, NEW key value (fails
/// when the key exists), ADD key number. LET variable value sets state that
/// belongs to the connection.
struct Statement {
  std::vector<StatementStep> Steps;

  static Result<Statement> parse(const std::string &Text);

  /// Time that it holds a slot beyond the base cost.
  Millis work() const;
  bool writes() const;
};

} // namespace cicadawind::fakes

#endif
