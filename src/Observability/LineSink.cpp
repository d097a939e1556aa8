#include "Observability/LineSink.h"

#include <fcntl.h>
#include <unistd.h>

namespace cicadawind {

LineSink::LineSink(int Descriptor) : Descriptor(Descriptor) {
  int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool LineSink::writeWhole(std::string Line) {
  if (Line.size() >= MaxLineBytes)
    Line.resize(MaxLineBytes - 1);
  Line += '\n';
  ssize_t Written = ::write(Descriptor, Line.data(), Line.size());
  return Written == static_cast<ssize_t>(Line.size());
}

void LineSink::write(const std::string &Line) {
  if (Dropped != Reported) {
    std::string Notice = R"({"level":"warning","component":"log",)"
                         R"("message":"lines dropped, reader too slow",)"
                         R"("count":")" +
                         std::to_string(Dropped - Reported) + "\"}";
    if (writeWhole(Notice))
      Reported = Dropped;
  }
  if (!writeWhole(Line))
    ++Dropped;
}

} // namespace cicadawind
