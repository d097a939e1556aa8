#ifndef CICADAWIND_PLATFORM_VMLIST_H
#define CICADAWIND_PLATFORM_VMLIST_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Membership/VmEntry.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace cicadawind {

/// \class VmList
/// \brief Interface to the platform's list of live and leaving VMs.
///
/// The list lags behind the actual state of the VMs.
class VmList {
public:
  virtual ~VmList() = default;

  /// Reads the list within \p Timeout. Returns StoreUnavailable if that fails.
  virtual boost::asio::awaitable<Result<std::vector<VmEntry>>>
  list(Duration Timeout) = 0;
};

} // namespace cicadawind

#endif
