#include <iostream>

#include "skylarkbridge/daemon/demo.hpp"

int main() {
  return skylarkbridge::daemon::RunDemo({}, std::cout);
}
