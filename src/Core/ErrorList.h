#ifndef CICADAWIND_CORE_ERRORLIST_H
#define CICADAWIND_CORE_ERRORLIST_H

#include "Core/Error.h"

#include <string>
#include <utility>

namespace cicadawind {

/// \class ErrorList
/// \brief Collects all errors in one input file, so that they are reported
/// together.
class ErrorList {
public:
  explicit ErrorList(std::string Origin) : Origin(std::move(Origin)) {}

  /// Adds an error as "origin:line: message".
  void add(std::size_t Line, const std::string &Message) {
    Text += Text.empty() ? "" : "\n";
    Text += Origin + ":" + std::to_string(Line) + ": " + Message;
  }
  bool empty() const { return Text.empty(); }

  /// Returns all errors as one BadRequest, with one line for each.
  Error error() const {
    return Error{.Code = ErrorCode::BadRequest, .Message = Text};
  }

private:
  std::string Origin;
  std::string Text;
};

} // namespace cicadawind

#endif
