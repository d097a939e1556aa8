#ifndef CICADAWIND_PLATFORM_VMLIST_H
#define CICADAWIND_PLATFORM_VMLIST_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Membership/VmEntry.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace cicadawind {

/// \class VmList
/// \brief The platform's lagging list of live and leaving VMs.
class VmList {
public:
  virtual ~VmList() = default;

  virtual boost::asio::awaitable<Result<std::vector<VmEntry>>>
  list(Duration Limit) = 0;
};

} // namespace cicadawind

#endif
