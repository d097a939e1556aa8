#ifndef CICADAWIND_CORE_RESULT_H
#define CICADAWIND_CORE_RESULT_H

#include "Core/Error.h"

#include <variant>

namespace cicadawind {

/// Value of type \p T, or the error that occurred instead.
template <class T> using Result = std::variant<T, Error>;

/// Result of an operation without a value.
using Status = Result<std::monostate>;

/// Returns the error in \p R; null if \p R contains a value.
template <class T> const Error *errorOf(const Result<T> &R) {
  return std::get_if<Error>(&R);
}

/// Returns the value in \p R. Throws std::bad_variant_access if \p R contains
/// an error.
template <class T> T &valueOf(Result<T> &R) { return std::get<T>(R); }
template <class T> const T &valueOf(const Result<T> &R) {
  return std::get<T>(R);
}

} // namespace cicadawind

#endif
