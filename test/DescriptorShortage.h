#ifndef CICADAWIND_TEST_DESCRIPTORSHORTAGE_H
#define CICADAWIND_TEST_DESCRIPTORSHORTAGE_H

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace cicadawind::test {

/// \class DescriptorShortage
/// \brief Leaves this process without a free file descriptor while it exists.
///
/// Lowers the process's own soft limit to the descriptors that are open.
class DescriptorShortage {
public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &Original);
    // The lowest free descriptor; all below it are open.
    int Lowest = open("/dev/null", O_RDONLY);
    close(Lowest);
    rlimit Lowered = Original;
    Lowered.rlim_cur = static_cast<rlim_t>(Lowest);
    setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &Original); }
  DescriptorShortage(const DescriptorShortage &) = delete;
  DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
  rlimit Original = {};
};

} // namespace cicadawind::test

#endif
