/// The shortest useful configuration: one team and one service. Run it and
/// publish what it prints.
#include "skylarkbridge/declaration/declare.hpp"

int main() {
  using namespace skylarkbridge::declaration;
  return PrintOrReport(Declare(team{.name = "shop"},
                               service{.name = "checkout",
                                       .team = "shop",
                                       .claim = {.minimum_permille = 300}}));
}
