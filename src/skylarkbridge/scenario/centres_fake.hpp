#ifndef SKYLARKBRIDGE_SCENARIO_CENTRES_FAKE_HPP
#define SKYLARKBRIDGE_SCENARIO_CENTRES_FAKE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/coordination/configuration_ledger.hpp"
#include "skylarkbridge/coordination/invariant_checker.hpp"
#include "skylarkbridge/coordination/membership.hpp"
#include "skylarkbridge/coordination/virtual_time_fake.hpp"

namespace skylarkbridge::scenario {

/// @brief A configuration is a line of words; a difference adds words. The word
/// "invalid" makes the whole invalid.
struct words_scheme {
  std::optional<std::string> Check(const std::string& text,
                                   findings& found) const;
  std::optional<std::string> Apply(const std::string& base,
                                   const std::string& difference,
                                   findings& found) const;
  std::vector<std::string> Changes(const std::string& from,
                                   const std::string& to) const;
};

/// @brief VMs, the log and the VM list, with the links between them.
class centres_fake {
 public:
  using ledger = coordination::configuration_ledger<words_scheme>;

  struct vm {
    vm(const coordination::member_entry& self, time_point now)
        : members(self, {}, now), configuration({}, {}) {}

    coordination::membership members;
    ledger configuration;
    bool paused = false;
  };
  struct publish {
    entry_vm_id vm;
    coordination::version_number base = 0;
    std::string text;
    std::string result = "no result yet";
  };

  /// @brief VM n of data centre d gets the id 10 d + n.
  centres_fake(std::uint64_t centres, std::uint64_t vms_per_centre);

  void Start(entry_vm_id id);
  void Kill(entry_vm_id id);
  /// @brief Appends a change; it is refused while the log cannot be reached.
  void Publish(entry_vm_id id,
               coordination::version_number base,
               const std::string& text);
  void Observe(entry_vm_id id,
               worker_id worker,
               coordination::upstream_status status);
  static std::uint64_t CentreOf(entry_vm_id id) { return id.value / 10; }
  vm* Find(entry_vm_id id);
  /// @brief Runs the commands of the VM's membership.
  void Do(entry_vm_id from, const coordination::membership_commands& commands);

  coordination::virtual_time time;
  coordination::invariant_checker checker;
  std::map<entry_vm_id, vm> vms;
  std::vector<coordination::stored_record> log;
  std::vector<publish> publishes;
  bool log_up = true;
  /// The log takes records and loses its replies.
  bool log_replies_lost = false;
  /// Data centres without links to others and to the platform.
  std::set<std::uint64_t> partitioned;

 private:
  bool Linked(entry_vm_id a, entry_vm_id b) const;
  bool ReachesPlatform(entry_vm_id id) const;
  /// Runs @p what at the VM after the delay of the link, unless it is cut.
  void Send(entry_vm_id from,
            entry_vm_id to,
            const std::function<void(vm&)>& what);
  void Append(entry_vm_id id,
              std::size_t publish,
              const coordination::log_record& record);
  void Tick();
  void ReadLog();
  void ListVms();
  void Do(entry_vm_id at, const coordination::configuration_event_list& events);
  void Result(const coordination::record_id& record, std::string text);

  std::uint64_t generation_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t read_round_ = 0;
  /// Place in `publishes` of each record.
  std::map<coordination::record_id, std::size_t> publish_of_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_CENTRES_FAKE_HPP
