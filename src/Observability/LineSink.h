#ifndef CICADAWIND_OBSERVABILITY_LINESINK_H
#define CICADAWIND_OBSERVABILITY_LINESINK_H

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class LineSink
/// \brief Writes whole lines to a descriptor without ever waiting for its
/// reader.
///
/// A line that the descriptor does not take at once is dropped and counted;
/// the next one that it takes is preceded by a line with the count. Lines are
/// cut at MaxLineBytes, up to which writes to a pipe are whole or nothing.
/// Not thread safe.
class LineSink {
public:
  static constexpr std::size_t MaxLineBytes = 4000;

  /// Makes \p Descriptor non-blocking.
  explicit LineSink(int Descriptor);

  /// \p Line without its end.
  void write(const std::string &Line);

  std::uint64_t dropped() const { return Dropped; }

private:
  bool writeWhole(std::string Line);

  int Descriptor;
  std::uint64_t Dropped = 0;
  std::uint64_t Reported = 0;
};

} // namespace cicadawind

#endif
