// Relays that stand for the network between machines and targets, so that a
// script can partition it; used where a case needs a partition.
#ifndef REVIEW_PARTITION_H
#define REVIEW_PARTITION_H

#include "Loopback.h"

#include <poll.h>

#include <functional>

namespace review {

/// The network path of one machine to one target. While it is cut, bytes are
/// dropped and new connections get no answer; the connections of that time are
/// closed when it heals.
class TargetPath {
public:
  explicit TargetPath(int Port) : Target(Port) {
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in A = loopback(0);
    bind(Listener, reinterpret_cast<sockaddr *>(&A), sizeof A);
    listen(Listener, 256);
    socklen_t Size = sizeof A;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&A), &Size);
    Own = ntohs(A.sin_port);
    Acceptor = std::thread([this] { acceptAll(); });
  }
  ~TargetPath() {
    Stopped = true;
    shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    closeAll();
    for (std::thread &Each : Pumps)
      Each.join();
    for (int Each : Sockets)
      close(Each);
    close(Listener);
  }
  int port() const { return Own; }
  void cut() { IsCut = true; }
  void heal() {
    if (IsCut.exchange(false))
      closeAll();
  }

private:
  static sockaddr_in loopback(int Port) {
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(static_cast<std::uint16_t>(Port));
    A.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return A;
  }
  void closeAll() {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (int Each : Sockets)
      shutdown(Each, SHUT_RDWR);
  }
  void acceptAll() {
    while (!Stopped) {
      int Near = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Near < 0)
        return;
      int Far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in A = loopback(Target);
      if (connect(Far, reinterpret_cast<sockaddr *>(&A), sizeof A) != 0) {
        close(Near);
        close(Far);
        continue;
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      Sockets.push_back(Near);
      Sockets.push_back(Far);
      Pumps.emplace_back([this, Near, Far] { pump(Near, Far); });
      Pumps.emplace_back([this, Near, Far] { pump(Far, Near); });
    }
  }
  void pump(int In, int Out) const {
    char Bytes[65536];
    ssize_t Got = 0;
    while ((Got = recv(In, Bytes, sizeof Bytes, 0)) > 0)
      if (!IsCut &&
          ::send(Out, Bytes, static_cast<std::size_t>(Got), MSG_NOSIGNAL) < 0)
        break;
    // The end of a connection does not pass a cut either.
    while (IsCut && !Stopped)
      sleepMs(10);
    shutdown(Out, SHUT_RDWR);
    shutdown(In, SHUT_RDWR);
  }

  int Target;
  int Listener = -1;
  int Own = 0;
  std::atomic<bool> IsCut = false;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  std::vector<int> Sockets;
  std::thread Acceptor;
  std::vector<std::thread> Pumps;
};

/// The datagrams between machines. Each machine is bound to an address of its
/// own and announces another one, which stands here.
class Datagrams {
public:
  /// Returns whether datagrams from one machine reach another.
  using Rule = std::function<bool(std::size_t From, std::size_t To)>;

  Datagrams(std::vector<std::string> NewAnnounced,
            std::vector<std::string> NewBound, int Port, Rule Passes)
      : Bound(std::move(NewBound)), Port(Port), Passes(std::move(Passes)) {
    for (const std::string &Ip : NewAnnounced) {
      int S = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      sockaddr_in A = address(Ip);
      IsBound &= bind(S, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0;
      Sockets.push_back(S);
    }
    Thread = std::thread([this] { run(); });
  }
  ~Datagrams() {
    Stopped = true;
    Thread.join();
    for (int Each : Sockets)
      close(Each);
  }
  bool isBound() const { return IsBound; }

private:
  sockaddr_in address(const std::string &Ip) const {
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
    return A;
  }
  void run() {
    std::vector<pollfd> Polled;
    for (int Each : Sockets)
      Polled.push_back({.fd = Each, .events = POLLIN, .revents = 0});
    while (!Stopped) {
      if (poll(Polled.data(), Polled.size(), 20) <= 0)
        continue;
      for (std::size_t To = 0; To < Sockets.size(); ++To)
        if (Polled[To].revents & POLLIN)
          pass(To);
    }
  }
  void pass(std::size_t To) {
    char Bytes[65536];
    sockaddr_in Sender{};
    socklen_t Size = sizeof Sender;
    ssize_t Got = recvfrom(Sockets[To], Bytes, sizeof Bytes, 0,
                           reinterpret_cast<sockaddr *>(&Sender), &Size);
    for (std::size_t From = 0; Got > 0 && From < Bound.size(); ++From) {
      sockaddr_in Own = address(Bound[From]);
      if (Own.sin_addr.s_addr != Sender.sin_addr.s_addr || !Passes(From, To))
        continue;
      sockaddr_in A = address(Bound[To]);
      sendto(Sockets[From], Bytes, static_cast<std::size_t>(Got), 0,
             reinterpret_cast<sockaddr *>(&A), sizeof A);
    }
  }

  std::vector<std::string> Bound;
  int Port;
  Rule Passes;
  std::vector<int> Sockets;
  bool IsBound = true;
  std::atomic<bool> Stopped = false;
  std::thread Thread;
};

} // namespace review

#endif
