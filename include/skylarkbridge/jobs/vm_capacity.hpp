#ifndef SKYLARKBRIDGE_JOBS_VM_CAPACITY_HPP
#define SKYLARKBRIDGE_JOBS_VM_CAPACITY_HPP

#include <chrono>
#include <cstddef>

namespace skylarkbridge::jobs {

/// @brief What a VM has for the cells that it owns.
struct vm_capacity {
  /// Share of a core.
  double processor_share = 1;
  /// Bandwidth of the VM's link in each direction, in Mbit/s.
  double link_mbps = 1000;
};

/// @brief Number of workers that an owner with half a core schedules, and the
/// largest size of a cell.
inline constexpr std::size_t kMaxWorkersPerCell = 123;

/// @brief Number of workers that one cell may have if VMs like this one own the
/// cells: what the link carries, at most kMaxWorkersPerCell.
std::size_t WorkersPerCell(const vm_capacity& vm);

/// @brief Largest page of a read of a log's tail, in KB. It takes about 0.1 s
/// on the link of the VM. A VM that is behind would otherwise ask for pages
/// that do not arrive before the deadline of the read, again and again.
int MaxTailPageKb(const vm_capacity& vm);

/// @brief Time that the largest record of the store takes on the link of the
/// VM. A read that has to return such a record needs this long, whatever its
/// page size.
std::chrono::milliseconds LargestRecordTime(const vm_capacity& vm);

/// @brief The processor share by which the VM competes for cells. A link that
/// carries less than the processor can schedule lowers it in proportion, so
/// that a VM with a narrow link does not take a cell from one with a wide link.
double UsableProcessorShare(const vm_capacity& vm);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_VM_CAPACITY_HPP
