#ifndef SKYLARKBRIDGE_COORDINATION_MEMBERSHIP_HPP
#define SKYLARKBRIDGE_COORDINATION_MEMBERSHIP_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/member.hpp"

namespace skylarkbridge::coordination {

struct membership_options {
  /// Between heartbeats to each member of the own data centre. 8 members send
  /// 14 a second each.
  std::chrono::milliseconds heartbeat_interval{500};
  /// Silence after which a member is suspected: two heartbeats missed.
  std::chrono::milliseconds suspect_after{1050};
  /// Silence after which it is declared dead. With a takeover to follow, 3 s
  /// from death to resumption leave 1.5 s for the detection.
  std::chrono::milliseconds dead_after{1450};
  /// Between heartbeats to a contact in another data centre.
  std::chrono::milliseconds remote_interval{2000};
  /// VMs of each data centre that keep contact with each other one.
  std::size_t contacts = 2;
  /// A contact that is silent for this time is replaced by the next.
  std::chrono::milliseconds contact_timeout{5000};
  /// Time for which a silent contact is not chosen again.
  std::chrono::milliseconds contact_pause{10'000};
  /// Shortest time between two rounds of news, which bounds their traffic.
  std::chrono::milliseconds news_interval{100};
  /// Shortest time between two pages of the table to peers that differ.
  std::chrono::milliseconds exchange_interval{500};
  /// Most entries of one message.
  std::size_t page_entries = 32;
  /// Each refutation of a death doubles the silence before the next one, up to
  /// this many times, until a heartbeat arrives. Behind a link that is broken
  /// in one direction, a VM would otherwise try to take over every 2 s.
  unsigned max_doublings = 4;
  /// A tick that is this late shows that this VM itself was paused.
  std::chrono::milliseconds pause_threshold{500};
  /// Dead members and workers that are gone are remembered against stale news
  /// for this time. Members of other data centres that the VM list lacks for
  /// this time are declared dead.
  std::chrono::minutes forget_after{10};
  std::size_t max_members = 1000;
  std::size_t max_upstreams = 20'000;
};

/// @brief Knows the entry VMs and the leaving upstreams.
///
/// Each VM judges the members of its own data centre by their heartbeats;
/// those of others it judges by the news from there.
class membership {
 public:
  membership(member_entry self, membership_options options, time_point now);

  /// @brief A heartbeat arrived.
  membership_commands Hear(const heartbeat& message, time_point now);

  /// @brief News arrived from @p from.
  membership_commands Receive(entry_vm_id from,
                              const member_update& update,
                              time_point now);

  /// @brief The platform's VM list arrived. It lags, so it never overrules a
  /// member that is heard; it hastens the end of one that is suspected.
  membership_commands ListVms(const std::vector<listed_vm>& list,
                              time_point now);

  /// @brief This VM observed the state of a worker.
  membership_commands Note(const upstream_entry& upstream, time_point now);

  /// @brief Announces kLeaving, or kLeft at the very end.
  membership_commands Announce(member_status status, time_point now);

  membership_commands Tick(time_point now);
  /// @brief Time at which Tick is due.
  time_point NextDeadline() const;

  /// @brief Version that heartbeats carry from now on.
  void SetConfiguration(const version_tag& version) {
    configuration_ = version;
  }

  const member_entry& Self() const { return self_; }
  /// @brief The member as this VM sees it, with suspicion.
  std::optional<member_entry> Find(entry_vm_id vm) const;
  /// @brief Members of the data centre that are alive or suspected, in the
  /// order of their ids, with this VM unless it is leaving.
  std::vector<entry_vm_id> Live(data_centre_id data_centre) const;
  std::optional<upstream_entry> Find(worker_id worker) const;
  std::size_t Size() const { return members_.size(); }
  /// @brief Equal on VMs that know the same members and upstreams.
  std::uint64_t TableDigest();

 private:
  enum scope : unsigned { kLocal = 1, kRemote = 2 };

  struct member_state {
    member_entry entry;
    bool suspected = false;
    time_point suspect_at;
    time_point dead_at;
    /// Until when the last heartbeat counts as hearing the member.
    time_point heard_until;
    /// Deaths that this VM declared and the member refuted through others.
    unsigned refutations = 0;
    /// Until when a contact in another data centre must be heard.
    std::optional<time_point> contact_deadline;
    time_point avoid_until;
    /// When a dead member is forgotten, or one that the list lacks is declared
    /// dead.
    std::optional<time_point> drop_at;
    time_point changed_at;
    /// Heartbeats in a row with a different digest, and entries sent since.
    unsigned differing = 0;
    std::size_t sent_entries = 0;
    unsigned unsent = 0;
  };
  struct upstream_state {
    upstream_entry entry;
    time_point drop_at;
    unsigned unsent = 0;
  };
  struct rival_process {
    member_entry entry;
    /// Time from which it counts as a duplicate.
    time_point report_at;
  };

  bool IsLocal(const member_entry& entry) const {
    return entry.data_centre == self_.data_centre;
  }
  static bool Ended(const member_entry& entry) {
    return entry.status >= member_status::kDead;
  }
  void Postpone(member_state& state, time_point now) const;
  void Accept(const member_entry& news,
              unsigned scopes,
              time_point now,
              membership_commands& commands);
  void ReceiveMember(const member_entry& news,
                     unsigned scopes,
                     time_point now,
                     membership_commands& commands);
  void ReceiveSelf(const member_entry& news, time_point now);
  void ReceiveUpstream(const upstream_entry& news,
                       unsigned scopes,
                       time_point now,
                       membership_commands& commands);
  void JudgeAll(time_point now, membership_commands& commands);
  void Judge(member_state& state,
             time_point now,
             membership_commands& commands);
  void DropForgotten(time_point now);
  void BeatLocal(membership_commands& commands);
  void ProbeDead(membership_commands& commands);
  void BeatRemote(time_point now, membership_commands& commands);
  std::vector<entry_vm_id> Contacts(data_centre_id other, time_point now) const;
  std::vector<data_centre_id> OtherDataCentres() const;
  heartbeat Heartbeat();

  void Flush(time_point now, membership_commands& commands);
  void SendNews(unsigned scope, time_point now, membership_commands& commands);
  void Exchange(member_state& peer,
                std::uint64_t digest,
                time_point now,
                membership_commands& commands);
  void SendPage(member_state& peer, membership_commands& commands) const;

  member_entry self_;
  const membership_options options_;
  version_tag configuration_;
  std::map<entry_vm_id, member_state> members_;
  std::map<worker_id, upstream_state> upstreams_;
  /// Listed VMs that have not been heard of.
  std::map<entry_vm_id, listed_vm> seeds_;
  std::optional<rival_process> rival_;
  /// Scopes in which the own entry has to be announced.
  unsigned self_unsent_ = 0;
  bool news_waiting_ = false;
  /// Digest of the table; nothing after a change.
  std::optional<std::uint64_t> digest_;
  /// Time at which the last Tick asked for the next one.
  time_point expected_tick_;
  /// No member of the data centre is due for suspicion or death before this.
  time_point next_judgement_ = time_point::max();
  time_point next_local_;
  time_point next_remote_;
  time_point next_news_;
  time_point next_exchange_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_MEMBERSHIP_HPP
