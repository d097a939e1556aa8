#ifndef CICADAWIND_WIRE_PRIMARYHINT_H
#define CICADAWIND_WIRE_PRIMARYHINT_H

#include "Core/LogPosition.h"

#include <string>

namespace cicadawind {

/// \class PrimaryHint
/// \brief A pooler's view of a database's primary, which routers use as a hint.
struct PrimaryHint {
  /// 0 if the pooler knows no term.
  Term CurrentTerm = 0;
  /// Empty while a promotion is under way.
  std::string Primary;
};

} // namespace cicadawind

#endif
