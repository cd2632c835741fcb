#include "skylarkbridge/coordination/contacts.hpp"

#include <algorithm>
#include <utility>

#include "skylarkbridge/coordination/digest.hpp"

namespace skylarkbridge::coordination {

std::vector<entry_vm_id> ContactsOf(std::vector<entry_vm_id> side,
                                    data_centre_id own,
                                    data_centre_id other,
                                    std::size_t count) {
  // The pair of data centres salts the score, so that each VM is a contact for
  // a few data centres instead of two VMs for all.
  const std::uint64_t salt = Mix(Mix(own.value) + Mix(other.value));
  const auto before = [salt](entry_vm_id a, entry_vm_id b) {
    return std::pair(Mix(a.value ^ salt), a) >
           std::pair(Mix(b.value ^ salt), b);
  };
  const std::size_t kept = std::min(count, side.size());
  std::partial_sort(side.begin(),
                    side.begin() + static_cast<std::ptrdiff_t>(kept),
                    side.end(), before);
  side.resize(kept);
  return side;
}

std::vector<entry_vm_id> ContactsFor(entry_vm_id self,
                                     const std::vector<entry_vm_id>& local,
                                     data_centre_id own,
                                     const std::vector<entry_vm_id>& remote,
                                     data_centre_id other,
                                     std::size_t count) {
  const std::vector<entry_vm_id> here = ContactsOf(local, own, other, count);
  const std::vector<entry_vm_id> there = ContactsOf(remote, other, own, count);
  std::vector<entry_vm_id> mine;
  const std::size_t pairs = std::max(here.size(), there.size());
  for (std::size_t i = 0; i < pairs && !here.empty() && !there.empty(); ++i) {
    if (here[i % here.size()] == self) {
      mine.push_back(there[i % there.size()]);
    }
  }
  return mine;
}

}  // namespace skylarkbridge::coordination
