#include "skylarkbridge/scheduling/batch_scheduler.hpp"

#include "skylarkbridge/scheduling/batch_scheduler_impl.hpp"

namespace skylarkbridge::scheduling {

template class basic_batch_scheduler<slowdown_model>;

}  // namespace skylarkbridge::scheduling
