#ifndef CICADAWIND_TEST_SCALE_ANYTARGET_H
#define CICADAWIND_TEST_SCALE_ANYTARGET_H

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace cicadawind {
class LineStream;
}

namespace cicadawind::test {

/// \class AnyTarget
/// \brief A listener that answers as any instance of any group.
///
/// The instance whose name ends in "-a" answers as the primary of term 1,
/// others as its replicas. Every request succeeds; nothing is stored. Lets one
/// process stand for thousands of instances.
class AnyTarget {
public:
  explicit AnyTarget(boost::asio::io_context &Loop);
  ~AnyTarget();

  std::string address() const;
  /// Returns the number of connections that were accepted so far.
  std::size_t accepted() const { return Accepted; }
  std::size_t open() const { return Streams.size(); }
  std::size_t requests() const { return Requests; }

private:
  void acceptNext();
  void serve(const std::shared_ptr<LineStream> &Stream);

  boost::asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<LineStream>> Streams;
  std::size_t Accepted = 0;
  std::size_t Requests = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cicadawind::test

#endif
