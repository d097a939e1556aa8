#include "Links/AccountPool.h"

#include <cassert>

namespace cicadawind {

PoolStep AccountPool::nextStep(const State &Now, Duration Waited) const {
  assert(Now.Opening <= Now.Total && Now.OfAccount <= Now.Total &&
         "parts must not exceed the total");
  if (Now.OpeningOfAccount > 0 || Now.Opening >= Opts.MaxOpenings)
    return PoolStep::Wait;
  if (Now.OfAccount > 0 && Waited < Opts.ExtraOpenDelay)
    return PoolStep::Wait;
  if (Now.Total < Now.Limit)
    return PoolStep::Open;
  return Now.Free > 0 ? PoolStep::Replace : PoolStep::Wait;
}

} // namespace cicadawind
