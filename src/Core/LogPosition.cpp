#include "Core/LogPosition.h"

namespace cicadawind {

std::string toString(LogPosition Position) {
  return std::to_string(Position.WrittenIn) + "." +
         std::to_string(Position.Index);
}

} // namespace cicadawind
