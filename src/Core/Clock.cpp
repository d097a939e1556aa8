#include "Core/Clock.h"

#include <ctime>

namespace cicadawind {

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace cicadawind
