#ifndef CICADAWIND_PROXY_PREPAREDSHAPE_H
#define CICADAWIND_PROXY_PREPAREDSHAPE_H

#include <string>

namespace cicadawind {

/// A shape that a caller has prepared.
struct PreparedShape {
  bool Writes = false;
  std::string Shape;
};

} // namespace cicadawind

#endif
