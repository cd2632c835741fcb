#include "skylarkbridge/jobs/ownership.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <utility>

namespace skylarkbridge::jobs {

ownership::ownership(ownership_options options)
    : options_(std::move(options)) {}

void ownership::Observe(const ownership_record& record, time_point now) {
  if (record.claim < newest_.claim) {
    return;
  }
  const bool own =
      record.vm == options_.vm && record.incarnation == options_.incarnation;
  if (record.claim > newest_.claim || record.released) {
    // Spreads the claims of the VMs that see the same record.
    next_claim_ = now + Spread(record.claim);
  }
  // The record may be older than its reading, which makes this an upper bound.
  const time_point earlier_until = now + record.predecessor_validity;
  earlier_until_ = record.claim > newest_.claim
                       ? earlier_until
                       : std::min(earlier_until_, earlier_until);
  newest_ = record;
  heard_ = now;
  if (owner_ && (!own || record.claim != own_)) {
    owner_ = false;
  }
}

void ownership::LogReadToEnd(time_point asked, time_point now) {
  read_ = std::max(read_, asked);
  if (!heard_) {
    heard_ = now;
    if (newest_.claim == 0) {
      next_claim_ = now + Spread(0);
    }
  }
  if (owner_) {
    confirmed_ = std::max(confirmed_, asked);
  }
}

std::optional<ownership_record> ownership::NextClaim(time_point now,
                                                     std::size_t owned) {
  const std::chrono::nanoseconds handicap = Handicap(owned);
  if (owner_ || retired_ || claiming_ || !heard_ ||
      now < next_claim_ + handicap) {
    return std::nullopt;
  }
  // An earlier process on this VM has ended.
  const bool own_predecessor = newest_.vm == options_.vm;
  const bool vacant = newest_.claim == 0 || newest_.released || own_predecessor;
  // Silence is what the log shows, not what this VM can't read.
  if (!vacant && read_ < *heard_ + options_.silence_limit + handicap +
                             Spread(newest_.claim)) {
    return std::nullopt;
  }
  claiming_ = true;
  own_ = newest_.claim + 1;
  predecessors_until_ =
      vacant ? earlier_until_
             : std::max(earlier_until_, *heard_ + options_.validity);
  return Record(false, now);
}

void ownership::ClaimFailed() {
  claiming_ = false;
}

bool ownership::IsOwnClaim(const ownership_record& record) const {
  return claiming_ && record.claim == own_ && record.vm == options_.vm &&
         record.incarnation == options_.incarnation && !record.released;
}

void ownership::ClaimAccepted(time_point sent) {
  claiming_ = false;
  if (newest_.claim > own_) {
    return;
  }
  newest_ = Record(false, sent);
  owner_ = true;
  confirmed_ = sent;
  written_ = sent;
  next_confirmation_ = sent + options_.confirm_interval;
}

void ownership::Confirmed(time_point sent) {
  confirmed_ = std::max(confirmed_, sent);
  written_ = std::max(written_, sent);
}

void ownership::Fenced(epoch seen) {
  if (seen > own_ || seen == 0) {
    owner_ = false;
  }
}

std::optional<ownership_record> ownership::Release(time_point now) {
  retired_ = true;
  if (!owner_) {
    return std::nullopt;
  }
  owner_ = false;
  return Record(true, now);
}

std::optional<ownership_record> ownership::NextConfirmation(time_point now) {
  if (!owner_ || now < next_confirmation_) {
    return std::nullopt;
  }
  next_confirmation_ = now + options_.confirm_interval;
  return Record(false, now);
}

ownership_record ownership::Record(bool released, time_point now) const {
  return {.claim = own_,
          .vm = options_.vm,
          .incarnation = options_.incarnation,
          .released = released,
          .predecessor_validity = std::chrono::ceil<std::chrono::milliseconds>(
              PredecessorOrdersUntil(now) - now)};
}

std::chrono::nanoseconds ownership::Handicap(std::size_t owned) const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(options_.claim_delay_per_cell) *
      static_cast<double>(owned + 1) / options_.processor_share);
}

std::chrono::nanoseconds ownership::Spread(epoch claim) const {
  std::seed_seq seeds{
      static_cast<std::uint32_t>(options_.incarnation),
      static_cast<std::uint32_t>(options_.incarnation >> 32U),
      static_cast<std::uint32_t>(std::hash<std::string>{}(options_.vm)),
      static_cast<std::uint32_t>(claim)};
  std::minstd_rand random(seeds);
  const std::chrono::nanoseconds most = options_.claim_jitter;
  return std::chrono::nanoseconds(
      std::uniform_int_distribution<std::int64_t>(0, most.count())(random));
}

}  // namespace skylarkbridge::jobs
