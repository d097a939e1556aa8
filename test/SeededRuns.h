#ifndef CICADAWIND_TEST_SEEDEDRUNS_H
#define CICADAWIND_TEST_SEEDEDRUNS_H

#include "TestFlags.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <functional>

namespace cicadawind::test {

/// Calls \p Check with each of \p Count seeds. The flags "seed" and "seeds" set
/// the first one and their number instead. A failed check names its seed.
inline void forSeeds(std::uint64_t Count,
                     const std::function<void(std::uint64_t Seed)> &Check) {
  std::uint64_t First = numberFlag("seed", 1);
  Count = numberFlag("seeds", Count);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) { Check(Seed); }
}

} // namespace cicadawind::test

#endif
