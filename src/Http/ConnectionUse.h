#ifndef CICADAWIND_HTTP_CONNECTIONUSE_H
#define CICADAWIND_HTTP_CONNECTIONUSE_H

namespace cicadawind {

/// Connection on which HttpClient makes a call.
enum class ConnectionUse {
  /// A kept one if there is any, and the connection is kept afterwards. Cheap,
  /// but a kept connection may have gone silent, and then the call takes its
  /// whole timeout.
  Kept,
  /// A new one that is closed afterwards, at the price of a round trip. For
  /// calls that are rare and must not wait for a dead connection.
  New,
};

} // namespace cicadawind

#endif
