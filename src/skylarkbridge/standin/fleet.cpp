#include "skylarkbridge/standin/fleet.hpp"

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::standin {
namespace {

constexpr std::chrono::seconds kStartTime{20};
constexpr std::chrono::seconds kDrainTime{5};

}  // namespace

fleet::fleet(const fleet_options& options)
    : platform_(options.platform), tree_("standins", {}) {
  tree_.Add({.name = "platform",
             .run = [this](stop_signal& stop) { return platform_.Run(stop); }});
  for (std::size_t i = 0; i < options.workers; ++i) {
    worker_options one = options.worker;
    one.worker = worker_id{i + 1};
    one.rack = rack_id{i / options.workers_per_rack + 1};
    workers_.push_back(std::make_unique<worker>(one));
    tree_.Add({.name = absl::StrCat("worker", i + 1),
               .run = [standin = workers_.back().get()](stop_signal& stop) {
                 return standin->Run(stop);
               }});
  }
  thread_ = posix_thread::Start("standins", [this] {
              static_cast<void>(tree_.Run(stop_));
            }).value();
  platform_.SetVmList(Describe());
  platform_address_ = platform_.Address(boot_clock::now() + kStartTime);
}

fleet::~fleet() {
  stop_.Request(boot_clock::now() + kDrainTime);
  thread_.Join();
}

void fleet::ListEntryVms(std::vector<wire::entry_vm> entry_vms) {
  wire::vm_list list = Describe();
  list.entry_vms = std::move(entry_vms);
  platform_.SetVmList(std::move(list));
}

wire::vm_list fleet::Describe() {
  wire::vm_list list;
  for (const auto& one : workers_) {
    list.workers.push_back(one->Describe(boot_clock::now() + kStartTime));
  }
  return list;
}

}  // namespace skylarkbridge::standin
