#ifndef SKYLARKBRIDGE_COORDINATION_CONTACTS_HPP
#define SKYLARKBRIDGE_COORDINATION_CONTACTS_HPP

#include <cstddef>
#include <vector>

#include "skylarkbridge/base/ids.hpp"

namespace skylarkbridge::coordination {

/// @brief The members of @p side that keep contact with the data centre
/// @p other, best score first, at most @p count of them.
///
/// Both sides compute the same lists, and the n-th of one side talks to the
/// n-th of the other.
std::vector<entry_vm_id> ContactsOf(std::vector<entry_vm_id> side,
                                    data_centre_id own,
                                    data_centre_id other,
                                    std::size_t count);

/// @brief Members of @p remote that @p self keeps contact with; empty when
/// other VMs of the data centre do.
std::vector<entry_vm_id> ContactsFor(entry_vm_id self,
                                     const std::vector<entry_vm_id>& local,
                                     data_centre_id own,
                                     const std::vector<entry_vm_id>& remote,
                                     data_centre_id other,
                                     std::size_t count);

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_CONTACTS_HPP
