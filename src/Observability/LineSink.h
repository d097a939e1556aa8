#ifndef CICADAWIND_OBSERVABILITY_LINESINK_H
#define CICADAWIND_OBSERVABILITY_LINESINK_H

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class LineSink
/// \brief Writes whole lines to a descriptor without ever blocking.
///
/// A line that cannot be written at once is dropped and counted. The next line
/// that can be written is preceded by a line that reports how many lines were
/// dropped. Lines are truncated to MaxLineBytes, because a non-blocking write
/// of up to PIPE_BUF bytes to a pipe is atomic: the line is written as a whole
/// or not at all. Not thread safe.
class LineSink {
public:
  /// Length of the longest line including its line end; below Linux's PIPE_BUF
  /// of 4096 bytes.
  static constexpr std::size_t MaxLineBytes = 4000;

  /// Makes \p Descriptor non-blocking.
  explicit LineSink(int Descriptor);

  /// Writes \p Line, given without its line end, or drops and counts it.
  void write(const std::string &Line);

  /// Returns the number of lines dropped so far.
  std::uint64_t dropped() const { return Dropped; }

private:
  bool writeWhole(std::string Line);

  int Descriptor;
  std::uint64_t Dropped = 0;
  /// Number of dropped lines that have been reported.
  std::uint64_t Reported = 0;
};

} // namespace cicadawind

#endif
