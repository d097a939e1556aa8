#ifndef CICADAWIND_TEST_SYSTEM_PORTBLOCK_H
#define CICADAWIND_TEST_SYSTEM_PORTBLOCK_H

namespace cicadawind::test {

/// \class PortBlock
/// \brief A block of ports that no other test holds.
///
/// Lies below the range from which the kernel takes ports for outgoing
/// connections, so that none of these can take one between choice and use.
/// Held through a locked file until destruction.
class PortBlock {
public:
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock &) = delete;
  PortBlock &operator=(const PortBlock &) = delete;

  /// The next port of the block that can be bound.
  int next();

private:
  int LockFile = -1;
  int NextPort = 0;
  int EndPort = 0;
};

} // namespace cicadawind::test

#endif
