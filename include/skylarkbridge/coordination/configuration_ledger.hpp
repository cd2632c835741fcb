#ifndef SKYLARKBRIDGE_COORDINATION_CONFIGURATION_LEDGER_HPP
#define SKYLARKBRIDGE_COORDINATION_CONFIGURATION_LEDGER_HPP

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/configuration_events.hpp"
#include "skylarkbridge/coordination/configuration_history.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

namespace skylarkbridge::coordination {

/// @brief How texts of configurations are read, checked and compared.
///
/// The result must depend on the arguments only, as all VMs must agree on
/// which records are valid.
template <class T>
concept configuration_scheme = requires(const T& scheme,
                                        const std::string& text,
                                        findings& found) {
  /// Canonical text of a whole configuration; adds findings and returns
  /// nothing when it is invalid.
  { scheme.Check(text, found) } -> std::same_as<std::optional<std::string>>;
  /// Canonical text of base and difference together, checked as a whole.
  {
    scheme.Apply(text, text, found)
    } -> std::same_as<std::optional<std::string>>;
  /// One line for each change between two configurations.
  { scheme.Changes(text, text) } -> std::same_as<std::vector<std::string>>;
};

struct configuration_ledger_options {
  /// Versions that a conflict can be explained over.
  std::size_t history = 64;
  /// Time that the log gets to deliver a version that a peer offered. While
  /// the log works, no text travels between peers.
  std::chrono::milliseconds fetch_delay{500};
  /// Wait before a peer is asked for the version in effect, to get past a gap.
  std::chrono::milliseconds gap_fetch_delay{5000};
  /// A fetch without an answer for this time is repeated at another offer.
  std::chrono::milliseconds fetch_timeout{1000};
};

/// @brief Fold of the configuration stream, and the version in effect.
///
/// The fold follows the log only, so that it is the same on every VM. The
/// version in effect is the newer one of the fold and what peers have passed
/// on, and its number never falls.
template <configuration_scheme Scheme>
class configuration_ledger {
 public:
  configuration_ledger(Scheme scheme, configuration_ledger_options options)
      : scheme_(std::move(scheme)),
        options_(options),
        history_(options.history) {}

  /// @brief Applies the next record of the stream; any other one is ignored.
  configuration_event_list Apply(const stored_record& stored) {
    configuration_event_list events;
    // After a snapshot took the fold back, the rest of the page is read again.
    if (stored.offset != next_) {
      return events;
    }
    next_ = stored.offset + 1;
    const log_record& record = stored.record;
    if (const auto* snapshot =
            std::get_if<configuration_snapshot>(&record.body)) {
      events.emplace_back(
          snapshot_seen{snapshot->version.valid_until, record.written_at});
      Take(snapshot->version, events);
    } else if (const auto* published =
                   std::get_if<configuration_published>(&record.body)) {
      // While the fold is uncertain, its version may not be the base that was
      // in effect here. The record is read again after a snapshot.
      if (Certain()) {
        Fold(record.id, *published, events);
      }
    }
    return events;
  }

  /// @brief Records were trimmed or skipped. The fold waits for a snapshot or a
  /// peer that has read past the gap; the version in effect stays.
  void Skip(const offset_gap& gap) {
    if (gap.begin > next_ || gap.end <= next_) {
      return;
    }
    next_ = gap.end;
    uncertain_until_ = next_;
    gap_accepted_ = false;
  }

  /// @brief Goes on from the present version, for when no VM has read past
  /// the gap. A snapshot or peer that has still replaces the fold later.
  void AcceptGap() { gap_accepted_ = true; }

  /// @brief The stream was read to its end.
  void ReachedEnd() { read_to_end_ = true; }

  /// @brief A peer has this version in effect; also carried by heartbeats.
  configuration_event_list Offer(entry_vm_id peer,
                                 const version_tag& offered,
                                 time_point now) {
    configuration_event_list events;
    const version_tag& here = Tag();
    if (offered.number == here.number && offered.digest != here.digest) {
      if (reported_ != offered) {
        reported_ = offered;
        events.emplace_back(configuration_diverged{here, offered});
      }
      return events;
    }
    if (offered.number < here.number || offered == refused_ ||
        (offered.number == here.number && Certain())) {
      return events;
    }
    if (!wanted_) {
      wanted_ = {
          .version = offered, .peer = peer, .due = FetchAt(offered, now)};
    } else if (wanted_->version.number < offered.number ||
               now >= wanted_->due) {
      // The delay runs from the first offer; later versions do not extend it.
      wanted_->version = offered;
      wanted_->peer = peer;
    }
    return Tick(now);
  }

  /// @brief The peer is gone; a fetch from it will not be answered.
  void Forget(entry_vm_id peer) {
    if (wanted_ && wanted_->peer == peer) {
      wanted_.reset();
    }
  }

  /// @brief A peer answered a fetch.
  configuration_event_list Receive(const version_tag& tag,
                                   const known_version& version) {
    configuration_event_list events;
    findings found;
    wanted_.reset();
    if (version.Tag() != tag) {
      found.Add("configuration_part", "the text does not match the digest");
    } else if (!scheme_.Check(version.text, found) && found.Empty()) {
      found.Add("configuration_part", "the text is not valid");
    }
    if (!found.Empty()) {
      refused_ = tag;
      events.emplace_back(peer_version_refused{tag, found.Items()});
      return events;
    }
    Take(version, events);
    return events;
  }

  /// @brief Sends a fetch that is due.
  configuration_event_list Tick(time_point now) {
    configuration_event_list events;
    if (wanted_ && now >= wanted_->due) {
      wanted_->due = now + options_.fetch_timeout;
      events.emplace_back(fetch_configuration{wanted_->peer, wanted_->version});
    }
    return events;
  }

  /// @brief Time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const {
    return wanted_ ? std::optional(wanted_->due) : std::nullopt;
  }

  const known_version& InEffect() const { return ahead_ ? *ahead_ : folded_; }
  const version_tag& Tag() const { return tag_; }

  configuration_state State() const {
    if (tag_.number > 0) {
      return configuration_state::kInEffect;
    }
    return Certain() && read_to_end_ ? configuration_state::kNonePublished
                                     : configuration_state::kUnknown;
  }

  /// @brief The version in effect for a peer, with the place up to which it is
  /// known to hold.
  known_version ForPeer() const {
    known_version version = InEffect();
    if (!ahead_ && !uncertain_until_) {
      version.valid_until = next_;
    }
    return version;
  }

  /// @brief The folded version as a record. Call only while certain.
  configuration_snapshot Snapshot() const {
    known_version version = folded_;
    version.valid_until = next_;
    return {std::move(version)};
  }

  /// @brief False from a gap until a snapshot or a peer covers it or it is
  /// accepted.
  bool Certain() const { return !uncertain_until_ || gap_accepted_; }
  log_offset Next() const { return next_; }

 private:
  struct wanted_version {
    version_tag version;
    entry_vm_id peer;
    /// Time of the next fetch.
    time_point due;
  };

  time_point FetchAt(const version_tag& offered, time_point now) const {
    if (tag_.number == 0) {
      return now;
    }
    // A fetch of the same version only serves to get past a gap; the text may
    // be large, and a snapshot may come first.
    return offered.number == tag_.number ? now + options_.gap_fetch_delay
                                         : now + options_.fetch_delay;
  }

  void Fold(const record_id& id,
            const configuration_published& published,
            configuration_event_list& events) {
    if (history_.Won(id)) {
      return;
    }
    if (published.base > folded_.number) {
      events.emplace_back(publish_invalid{
          id,
          {{"base", "version " + std::to_string(published.base) +
                        " does not exist; the latest is " +
                        std::to_string(folded_.number)}}});
      return;
    }
    if (published.base < folded_.number) {
      events.emplace_back(
          publish_conflict{.record = id,
                           .base = published.base,
                           .winner = history_.WinnerOn(published.base),
                           .latest = folded_.Tag(),
                           .changes = history_.ChangesSince(published.base)});
      return;
    }
    findings found;
    std::optional<std::string> text =
        published.full ? scheme_.Check(published.text, found)
                       : scheme_.Apply(folded_.text, published.text, found);
    if (!text || !found.Empty()) {
      events.emplace_back(publish_invalid{id, found.Items()});
      return;
    }
    history_.Add(folded_.number + 1, id, scheme_.Changes(folded_.text, *text));
    folded_ = {folded_.number + 1, std::move(*text), next_};
    const version_tag version = folded_.Tag();
    events.emplace_back(publish_accepted{id, version});
    Advance(version, events);
  }

  /// Takes a whole version from a snapshot or a peer.
  void Take(const known_version& version, configuration_event_list& events) {
    const version_tag tag = version.Tag();
    if (uncertain_until_ && version.valid_until >= *uncertain_until_ &&
        version.number >= folded_.number) {
      folded_ = version;
      next_ = version.valid_until;
      history_.Clear();
      uncertain_until_.reset();
      gap_accepted_ = false;
      events.emplace_back(configuration_replaced{version.valid_until});
      Advance(tag, events);
    } else if (version.number > tag_.number) {
      ahead_ = version;
      SetInEffect(tag, events);
    } else if (version.number == tag_.number && tag != tag_) {
      events.emplace_back(configuration_diverged{tag_, tag});
    }
  }

  /// The fold has a new version; it is in effect unless a peer's is newer.
  void Advance(const version_tag& folded, configuration_event_list& events) {
    if (folded.number > tag_.number) {
      ahead_.reset();
      SetInEffect(folded, events);
    } else if (folded.number == tag_.number) {
      if (folded == tag_) {
        ahead_.reset();
      } else {
        events.emplace_back(configuration_diverged{tag_, folded});
      }
    }
  }

  void SetInEffect(const version_tag& tag, configuration_event_list& events) {
    tag_ = tag;
    if (wanted_ && wanted_->version.number <= tag.number) {
      wanted_.reset();
    }
    events.emplace_back(configuration_in_effect{tag});
  }

  Scheme scheme_;
  const configuration_ledger_options options_;
  configuration_history history_;
  known_version folded_;
  /// A version from peers that the fold has not reached.
  std::optional<known_version> ahead_;
  version_tag tag_{0, Digest("")};
  log_offset next_ = 0;
  /// End of the last gap, until a snapshot or a peer covers it.
  std::optional<log_offset> uncertain_until_;
  bool gap_accepted_ = false;
  bool read_to_end_ = false;
  std::optional<wanted_version> wanted_;
  /// Last divergence that was reported and last version that was refused, so
  /// that heartbeats do not repeat either.
  version_tag reported_;
  std::optional<version_tag> refused_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_CONFIGURATION_LEDGER_HPP
