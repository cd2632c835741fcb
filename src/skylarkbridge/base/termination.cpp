#include "skylarkbridge/base/termination.hpp"

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>

namespace skylarkbridge {
namespace {

sigset_t TerminationSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockTerminationSignals() {
  const sigset_t set = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int WaitForTermination() {
  const sigset_t set = TerminationSignals();
  int signal = 0;
  sigwait(&set, &signal);
  return signal;
}

void BlockReloadSignal() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int WaitForSignal(time_point deadline) {
  sigset_t set = TerminationSignals();
  sigaddset(&set, SIGHUP);
  const auto left =
      std::max(deadline - boot_clock::now(), time_point::duration::zero());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(left);
  const timespec limit{.tv_sec = seconds.count(),
                       .tv_nsec = (left - seconds).count()};
  const int signal = sigtimedwait(&set, nullptr, &limit);
  return signal > 0 ? signal : 0;
}

void RequestTermination() {
  kill(getpid(), SIGTERM);
}

}  // namespace skylarkbridge
