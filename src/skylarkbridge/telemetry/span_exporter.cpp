#include "skylarkbridge/telemetry/span_exporter.hpp"

#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>

#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::telemetry {

boost::leaf::result<void> file_writer::operator()(
    std::string_view document) const {
  errno = 0;
  std::ofstream file(path_, std::ios::app | std::ios::binary);
  file << document << '\n';
  file.close();
  if (!file) {
    return boost::leaf::new_error(
        failure{"trace file " + path_,
                errno == 0 ? "write failed" : std::strerror(errno)});
  }
  return {};
}

}  // namespace skylarkbridge::telemetry
