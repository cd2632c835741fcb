#include "skylarkbridge/base/termination.hpp"

#include <pthread.h>
#include <unistd.h>

#include <csignal>

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

void RequestTermination() {
  kill(getpid(), SIGTERM);
}

}  // namespace skylarkbridge
