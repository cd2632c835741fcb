#include "skylarkbridge/jobs/ownership.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

namespace skylarkbridge::jobs {
namespace {

/// The owner is well and writes to the log all the time, so a claim often fails
/// at first. Wider spread claims of several VMs collide less often.
constexpr int kHandOverJitterFactor = 4;

}  // namespace

ownership::ownership(ownership_options options)
    : options_(std::move(options)) {}

void ownership::Observe(const ownership_record& record, time_point now) {
  if (record.claim_epoch < newest_.claim_epoch) {
    return;
  }
  const bool is_own_record =
      record.vm == options_.vm && record.incarnation == options_.incarnation;
  if (record.claim_epoch > newest_.claim_epoch || record.released) {
    // VMs that read the same record should not claim at the same time.
    next_claim_at_ = now + ClaimJitter(record.claim_epoch);
  }
  if (record.claim_epoch > newest_.claim_epoch) {
    hand_over_at_.reset();
  }
  // An upper bound, as the record was written before it was read.
  // No owner gives orders for longer, whatever a record states.
  const time_point predecessor_orders_until =
      now + std::min(record.predecessor_validity, options_.order_validity);
  newest_predecessor_orders_until_ =
      record.claim_epoch > newest_.claim_epoch
          ? predecessor_orders_until
          : std::min(newest_predecessor_orders_until_,
                     predecessor_orders_until);
  newest_ = record;
  last_observed_ = now;
  if (owner_ && (!is_own_record || record.claim_epoch != own_epoch_)) {
    owner_ = false;
  }
}

void ownership::LogReadToEnd(time_point as_of, time_point now) {
  read_until_ = std::max(read_until_, as_of);
  if (!last_observed_) {
    last_observed_ = now;
    if (newest_.claim_epoch == 0) {
      next_claim_at_ = now + ClaimJitter(0);
    }
  }
  if (owner_) {
    confirmed_at_ = std::max(confirmed_at_, as_of);
  }
}

std::optional<ownership_record> ownership::NextClaim(
    time_point now,
    std::size_t owned,
    time_point all_read_until) {
  if (owner_ || released_ || claiming_ || !last_observed_ ||
      now < next_claim_at_ + ClaimDelay(owned)) {
    return std::nullopt;
  }
  const std::optional<claim_reason> reason =
      ReasonToClaim(now, owned, all_read_until);
  if (!reason) {
    return std::nullopt;
  }
  claiming_ = true;
  claim_reason_ = *reason;
  own_epoch_ = newest_.claim_epoch + 1;
  millicores_per_cell_ = MillicoresPerCell(owned);
  own_predecessor_orders_until_ = newest_predecessor_orders_until_;
  if (*reason != claim_reason::kVacant) {
    // An owner that is well goes on writing until it reads the claim.
    const time_point last_write =
        *reason == claim_reason::kSilent ? *last_observed_ : now;
    own_predecessor_orders_until_ = std::max(
        own_predecessor_orders_until_, last_write + options_.order_validity);
  }
  return Record(false, now);
}

std::optional<claim_reason> ownership::ReasonToClaim(
    time_point now,
    std::size_t owned,
    time_point all_read_until) {
  // The newest owner may be an earlier process of this VM, which has ended.
  const bool own_predecessor = newest_.vm == options_.vm;
  if (newest_.claim_epoch == 0 || newest_.released || own_predecessor) {
    return claim_reason::kVacant;
  }
  // A VM that can't read the log must not take that for silence of the owner.
  if (read_until_ >= *last_observed_ + options_.silence_limit +
                         ClaimDelay(owned) + ClaimJitter(newest_.claim_epoch)) {
    return claim_reason::kSilent;
  }
  UpdateHandOver(now, owned);
  const time_point read_until = std::min(read_until_, all_read_until);
  return hand_over_at_ && read_until >= *hand_over_at_ &&
                 now < read_until + options_.max_hand_over_read_age
             ? std::optional(claim_reason::kMoreProcessorTime)
             : std::nullopt;
}

void ownership::UpdateHandOver(time_point now, std::size_t owned) {
  const double wanted = options_.min_hand_over_advantage *
                        static_cast<double>(newest_.millicores_per_cell);
  if (wanted <= 0 || static_cast<double>(MillicoresPerCell(owned)) < wanted) {
    hand_over_at_.reset();
    return;
  }
  if (!hand_over_at_) {
    hand_over_at_ = now + options_.hand_over_delay +
                    kHandOverJitterFactor * ClaimJitter(newest_.claim_epoch);
  }
}

std::int64_t ownership::MillicoresPerCell(std::size_t owned) const {
  constexpr double kMillicoresPerCore = 1000;
  return std::llround(kMillicoresPerCore * options_.processor_share /
                      static_cast<double>(owned + 1));
}

void ownership::ClaimFailed() {
  claiming_ = false;
}

bool ownership::IsOwnClaim(const ownership_record& record) const {
  return claiming_ && record.claim_epoch == own_epoch_ &&
         record.vm == options_.vm &&
         record.incarnation == options_.incarnation && !record.released;
}

void ownership::ClaimAccepted(time_point sent) {
  claiming_ = false;
  if (newest_.claim_epoch > own_epoch_) {
    return;
  }
  newest_ = Record(false, sent);
  owner_ = true;
  confirmed_at_ = sent;
  last_write_ = sent;
  next_confirmation_at_ = sent + options_.confirm_interval;
}

void ownership::Confirmed(time_point sent) {
  confirmed_at_ = std::max(confirmed_at_, sent);
  last_write_ = std::max(last_write_, sent);
}

void ownership::Fenced(epoch seen) {
  if (seen > own_epoch_ || seen == 0) {
    owner_ = false;
  }
}

std::optional<ownership_record> ownership::Release(time_point now) {
  released_ = true;
  if (!owner_) {
    return std::nullopt;
  }
  owner_ = false;
  return Record(true, now);
}

std::optional<ownership_record> ownership::NextConfirmation(time_point now,
                                                            std::size_t owned) {
  if (!owner_ || now < next_confirmation_at_) {
    return std::nullopt;
  }
  next_confirmation_at_ = now + options_.confirm_interval;
  millicores_per_cell_ = MillicoresPerCell(owned);
  return Record(false, now);
}

ownership_record ownership::Record(bool released, time_point now) const {
  return {.claim_epoch = own_epoch_,
          .vm = options_.vm,
          .incarnation = options_.incarnation,
          .released = released,
          .predecessor_validity = std::chrono::ceil<std::chrono::milliseconds>(
              PredecessorOrdersUntil(now) - now),
          .millicores_per_cell = millicores_per_cell_};
}

std::chrono::nanoseconds ownership::ClaimDelay(std::size_t owned) const {
  const std::chrono::duration<double, std::milli> delay =
      options_.claim_delay +
      static_cast<double>(owned) * std::chrono::duration<double, std::milli>(
                                       options_.claim_delay_per_owned_cell);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      delay / options_.processor_share);
}

std::chrono::nanoseconds ownership::ClaimJitter(epoch claim) const {
  std::seed_seq seeds{
      static_cast<std::uint32_t>(options_.incarnation),
      static_cast<std::uint32_t>(options_.incarnation >> 32U),
      static_cast<std::uint32_t>(std::hash<std::string>{}(options_.vm)),
      static_cast<std::uint32_t>(claim)};
  std::minstd_rand random(seeds);
  const std::chrono::nanoseconds max_jitter = options_.claim_jitter;
  return std::chrono::nanoseconds(std::uniform_int_distribution<std::int64_t>(
      0, max_jitter.count())(random));
}

}  // namespace skylarkbridge::jobs
