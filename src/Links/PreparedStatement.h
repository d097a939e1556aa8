#ifndef CICADAWIND_LINKS_PREPAREDSTATEMENT_H
#define CICADAWIND_LINKS_PREPAREDSTATEMENT_H

#include <string>

namespace cicadawind {

/// \class PreparedStatement
/// \brief A statement template that a caller has prepared.
struct PreparedStatement {
  /// Whether the template is a write.
  bool Writes = false;
  std::string Template;
};

} // namespace cicadawind

#endif
