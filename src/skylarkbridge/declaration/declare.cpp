#include "skylarkbridge/declaration/declare.hpp"

#include "skylarkbridge/declaration/check.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::declaration {

int PrintOrReport(const configuration& config,
                  std::ostream& out,
                  std::ostream& errors) {
  const findings found = Check(config);
  if (!found.Empty()) {
    errors << Format(found);
    return 1;
  }
  out << PrintJson(config);
  return out.flush() ? 0 : 1;
}

}  // namespace skylarkbridge::declaration
