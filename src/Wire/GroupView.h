#ifndef CICADAWIND_WIRE_GROUPVIEW_H
#define CICADAWIND_WIRE_GROUPVIEW_H

#include "Core/LogPosition.h"

#include <string>

namespace cicadawind {

/// \class GroupView
/// \brief What a pooler knows of a database's primary; a hint for routers.
struct GroupView {
  /// 0 when the pooler knows no term.
  Term Current = 0;
  /// Empty while a promotion is under way.
  std::string Primary;
};

} // namespace cicadawind

#endif
