#include "skylarkbridge/declaration/check.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/declaration/canonical_size.hpp"

namespace skylarkbridge::declaration {
namespace {

using std::chrono::milliseconds;

/// Sums of guaranteed shares within one team.
struct team_sums {
  std::int64_t cap_permille = 0;
  std::int64_t services_permille = 0;
  std::int64_t batch_permille = 0;
};

class checker {
 public:
  explicit checker(const configuration& config) : config_(config) {}

  findings Run() {
    CheckTeams();
    CheckServices();
    CheckBatchKinds();
    CheckTeamSums();
    CheckSize();
    return std::move(found_);
  }

 private:
  void CheckRange(std::string_view place,
                  std::int64_t value,
                  std::int64_t low,
                  std::int64_t high) {
    if (value < low || value > high) {
      found_.Add(place,
                 absl::StrCat(value, " is not between ", low, " and ", high));
    }
  }

  void CheckTime(std::string_view place, milliseconds value, milliseconds max) {
    CheckRange(place, value.count(), 1, max.count());
  }

  void CheckCount(std::string_view place, std::size_t count, std::size_t max) {
    if (count > max) {
      found_.Add(place, absl::StrCat(count, " items are more than ", max));
    }
  }

  void CheckName(const std::string& place,
                 const std::string& name,
                 absl::flat_hash_set<std::string>& seen) {
    const std::string at = place + ".name";
    if (name.empty()) {
      found_.Add(at, "is empty");
      return;
    }
    if (name.size() > kMaxNameLength) {
      found_.Add(at, absl::StrCat("has ", name.size(),
                                  " characters, more than ", kMaxNameLength));
      return;
    }
    const auto allowed = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    if (name.front() < 'a' || name.front() > 'z' || name.back() == '-' ||
        !std::all_of(name.begin(), name.end(), allowed)) {
      found_.Add(at,
                 "must start with a letter a-z, contain only a-z, 0-9 and -, "
                 "and not end with -");
      return;
    }
    if (!seen.insert(name).second) {
      found_.Add(at, absl::StrCat("\"", name, "\" is declared twice"));
    }
  }

  void CheckShare(const std::string& place, const share& claim) {
    CheckRange(place + ".minimum_permille", claim.minimum_permille, 0,
               kWholeFleetPermille);
    CheckRange(place + ".cap_permille", claim.cap_permille, 0,
               kWholeFleetPermille);
    if (claim.minimum_permille > claim.cap_permille) {
      found_.Add(place + ".minimum_permille",
                 absl::StrCat(claim.minimum_permille, " is above cap_permille ",
                              claim.cap_permille));
    }
  }

  void CheckResources(const std::string& place,
                      const resources& value,
                      const resources& low,
                      const resources& high) {
    CheckRange(place + ".millicores", value.millicores, low.millicores,
               high.millicores);
    CheckRange(place + ".memory_mib", value.memory_mib, low.memory_mib,
               high.memory_mib);
    CheckRange(place + ".accelerators", value.accelerators, low.accelerators,
               high.accelerators);
  }

  team_sums* FindTeam(const std::string& place, const std::string& name) {
    const auto it = teams_.find(name);
    if (it == teams_.end()) {
      found_.Add(place + ".team",
                 name.empty()
                     ? "is empty"
                     : absl::StrCat("team \"", name.substr(0, kMaxNameLength),
                                    "\" is not declared"));
      return nullptr;
    }
    return &it->second;
  }

  /// Shares outside 0 to 1000 are reported on their own; clamping them keeps
  /// the sum from overflowing.
  static std::int64_t Guaranteed(const share& claim) {
    return std::clamp<std::int64_t>(claim.minimum_permille, 0,
                                    kWholeFleetPermille);
  }

  void CheckSum(std::string_view place, std::int64_t sum, std::string_view of) {
    if (sum > kWholeFleetPermille) {
      found_.Add(place, absl::StrCat("the sum of minimum_permille of all ",
                                     ToAbsl(of), " is ", sum, ", more than ",
                                     kWholeFleetPermille));
    }
  }

  void CheckTeams() {
    CheckCount("teams", config_.teams.size(), kMaxTeams);
    absl::flat_hash_set<std::string> names;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < config_.teams.size(); ++i) {
      const team& item = config_.teams[i];
      const std::string place = absl::StrCat("teams[", i, "]");
      CheckName(place, item.name, names);
      CheckShare(place + ".claim", item.claim);
      CheckResources(place + ".quota", item.quota, {}, kMaxQuota);
      sum += Guaranteed(item.claim);
      teams_.try_emplace(item.name,
                         team_sums{.cap_permille = item.claim.cap_permille});
    }
    CheckSum("teams", sum, "teams");
  }

  void CheckServices() {
    CheckCount("services", config_.services.size(), kMaxServices);
    absl::flat_hash_set<std::string> names;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < config_.services.size(); ++i) {
      const service& item = config_.services[i];
      const std::string place = absl::StrCat("services[", i, "]");
      CheckName(place, item.name, names);
      if (team_sums* owner = FindTeam(place, item.team)) {
        owner->services_permille += Guaranteed(item.claim);
      }
      CheckShare(place + ".claim", item.claim);
      CheckDeadlines(place, item);
      CheckRange(place + ".queue_limit", item.queue_limit, 0, kMaxServiceQueue);
      CheckRange(place + ".urgency", item.urgency, 0, kMaxUrgency);
      sum += Guaranteed(item.claim);
    }
    CheckSum("services", sum, "services");
  }

  void CheckDeadlines(const std::string& place, const service& item) {
    CheckTime(place + ".default_deadline_ms", item.default_deadline,
              kMaxRequestDeadline);
    CheckTime(place + ".longest_deadline_ms", item.longest_deadline,
              kMaxRequestDeadline);
    CheckTime(place + ".latency_objective_ms", item.latency_objective,
              kMaxRequestDeadline);
    if (item.default_deadline > item.longest_deadline) {
      found_.Add(place + ".default_deadline_ms",
                 absl::StrCat(item.default_deadline.count(),
                              " is above longest_deadline_ms ",
                              item.longest_deadline.count()));
    }
    if (item.latency_objective > item.longest_deadline) {
      found_.Add(place + ".latency_objective_ms",
                 absl::StrCat(item.latency_objective.count(),
                              " is above longest_deadline_ms ",
                              item.longest_deadline.count()));
    }
  }

  void CheckBatchKinds() {
    CheckCount("batch_kinds", config_.batch_kinds.size(), kMaxBatchKinds);
    absl::flat_hash_set<std::string> names;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < config_.batch_kinds.size(); ++i) {
      const batch_kind& item = config_.batch_kinds[i];
      const std::string place = absl::StrCat("batch_kinds[", i, "]");
      CheckName(place, item.name, names);
      if (team_sums* owner = FindTeam(place, item.team)) {
        owner->batch_permille += Guaranteed(item.claim);
      }
      CheckShare(place + ".claim", item.claim);
      CheckResources(place + ".size", item.size,
                     {.millicores = 1, .memory_mib = 1}, kMaxTaskSize);
      CheckTime(place + ".run_time_ms", item.run_time, kMaxRunTime);
      CheckRange(place + ".rack_limit", item.rack_limit, 0, kMaxRackLimit);
      CheckRange(place + ".queue_limit", item.queue_limit, 1, kMaxBatchQueue);
      CheckRange(place + ".urgency", item.urgency, 0, kMaxUrgency);
      sum += Guaranteed(item.claim);
    }
    CheckSum("batch_kinds", sum, "batch kinds");
  }

  /// What a team's items are guaranteed must fit under the team's cap, or one
  /// of the two promises cannot be kept.
  void CheckTeamSums() {
    for (std::size_t i = 0; i < config_.teams.size(); ++i) {
      const team_sums& sums = teams_[config_.teams[i].name];
      const auto report = [&](std::int64_t sum, std::string_view of) {
        if (sum > sums.cap_permille) {
          found_.Add(absl::StrCat("teams[", i, "].claim.cap_permille"),
                     absl::StrCat(sums.cap_permille,
                                  " is below the sum of minimum_permille of "
                                  "the team's ",
                                  ToAbsl(of), ", ", sum));
        }
      };
      report(sums.services_permille, "services");
      report(sums.batch_permille, "batch kinds");
    }
  }

  void CheckSize() {
    const std::size_t size = CanonicalSize(config_);
    if (size > kMaxJsonBytes) {
      found_.Add("configuration",
                 absl::StrCat("the canonical form has ", size,
                              " bytes, more than ", kMaxJsonBytes));
    }
  }

  const configuration& config_;
  absl::flat_hash_map<std::string, team_sums> teams_;
  findings found_;
};

}  // namespace

findings Check(const configuration& config) {
  return checker(config).Run();
}

}  // namespace skylarkbridge::declaration
