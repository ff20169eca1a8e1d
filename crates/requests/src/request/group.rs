//! Groups: the memory of several engines, reserved all or nothing for one long prompt.
//!
//! Invariants: nothing is generated before the leader and every member have granted their parts. A
//! group that lacks a part releases all others before it tries again, so no two groups wait for
//! each other's memory. Every part carries this node's incarnation and an expiry, so a dead node
//! leaves no memory reserved for good.

use super::{Context, Effect, Group, LiveRequest, Member, Phase};
use bluebell_base::prelude::*;
use bluebell_policy::{GroupPart, Outcome};
use bluebell_upstreams::{Priority, Reserve};
use rand::Rng;

/// The number of renewals within one hold time. Two may be lost without losing the memory.
const RENEWALS_PER_HOLD: u64 = 3;

impl LiveRequest {
    /// Handles the policy's decision to run the request on a group.
    pub fn on_group(
        &mut self,
        leader: UpstreamId,
        members: &[GroupPart],
        priority: Priority,
        cx: &mut Context<'_>,
    ) {
        if !matches!(self.phase, Phase::Queued) {
            cx.policy.on_end(self.request, Outcome::NotRun, cx.now_ms);
            return;
        }
        // The leader's own part is reserved too. If the request only waited for it, two groups
        // could each hold members and wait for the other's leader forever.
        let member_tokens: Tokens = members.iter().map(|part| part.kv_tokens).sum();
        let own = GroupPart {
            upstream: leader,
            kv_tokens: self.kv_tokens().saturating_sub(member_tokens),
        };
        let parts = std::iter::once(&own).chain(members);
        let members: Vec<Member> = parts.map(Member::requested).collect();
        let group = Group {
            reservation: ReservationId(cx.rng.random()),
            leader,
            priority,
            members,
            due_ms: cx.now_ms + cx.settings.answer_wait_ms,
        };
        let ready = group.is_ready(cx) && !self.recalls.may_remain_on(leader);
        self.push_reserves(&group, cx);
        self.phase = Phase::Reserving(group);
        if !ready {
            self.group_failed(cx);
        }
    }

    /// Returns the KV memory that the prompt and the answer need.
    fn kv_tokens(&self) -> Tokens {
        let job = self.answer().and_then(|answer| answer.job.as_ref());
        job.map_or(Tokens::ZERO, |job| job.kv_tokens())
    }

    fn push_reserves(&self, group: &Group, cx: &mut Context<'_>) {
        for member in &group.members {
            cx.out.push(Effect::Reserve {
                upstream: member.part.upstream,
                call: Reserve {
                    reservation: group.reservation,
                    request: self.request,
                    owner: cx.owner,
                    kv_tokens: member.part.kv_tokens,
                    hold_ms: cx.settings.hold_ms,
                },
            });
        }
    }

    /// Handles a member's answer to a reservation or renewal.
    pub fn on_reserved(
        &mut self,
        reservation: ReservationId,
        upstream: UpstreamId,
        granted: bool,
        cx: &mut Context<'_>,
    ) {
        let held = match &mut self.phase {
            Phase::Reserving(group) => Some(group),
            Phase::Running(run) => run.group.as_mut(),
            _ => None,
        };
        let Some(group) = held.filter(|group| group.reservation == reservation) else {
            // The group was given up while this answer was under way, and its release may have
            // overtaken the grant. Without a second release nobody would own the memory until it
            // expires.
            if granted {
                cx.out.push(Effect::Release {
                    upstream,
                    reservation,
                });
            }
            cx.observer.dropped_event();
            return;
        };
        let mut members = group.members.iter_mut();
        let member = members.find(|member| member.part.upstream == upstream);
        let Some(member) = member else { return };
        member.granted |= granted;
        if matches!(self.phase, Phase::Reserving(_)) {
            match granted {
                true => self.generate_if_granted(cx),
                false => self.group_failed(cx),
            }
        }
    }

    /// Generates on the leader once every member has granted its part.
    fn generate_if_granted(&mut self, cx: &mut Context<'_>) {
        let Phase::Reserving(group) = &self.phase else {
            return;
        };
        if !group.members.iter().all(|member| member.granted) {
            return;
        }
        if !cx.fleet.accepts_work(group.leader) {
            self.group_failed(cx);
            return;
        }
        let mut group = group.clone();
        group.due_ms = cx.now_ms + renewal_ms(cx);
        let (leader, priority) = (group.leader, group.priority);
        self.generate(leader, priority, Some(group), cx);
    }

    /// Handles a part that was refused or not granted in time: releases all parts and schedules
    /// another try.
    pub(crate) fn group_failed(&mut self, cx: &mut Context<'_>) {
        self.release_group(cx);
        self.end_attempt(Outcome::NotRun, cx);
        self.back_off(cx);
    }

    /// Renews the parts while the leader runs.
    pub(crate) fn renew_group(&mut self, cx: &mut Context<'_>) {
        let due_ms = cx.now_ms + renewal_ms(cx);
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        let Some(group) = &mut run.group else {
            return;
        };
        group.due_ms = due_ms;
        let group = group.clone();
        self.push_reserves(&group, cx);
    }

    /// Releases the memory of the group, if there is one.
    pub(crate) fn release_group(&mut self, cx: &mut Context<'_>) {
        let group = match &mut self.phase {
            Phase::Reserving(group) => Some(group.clone()),
            Phase::Running(run) => run.group.take(),
            _ => None,
        };
        let Some(group) = group else { return };
        for member in &group.members {
            cx.out.push(Effect::Release {
                upstream: member.part.upstream,
                reservation: group.reservation,
            });
        }
    }
}

impl Member {
    fn requested(part: &GroupPart) -> Self {
        Self {
            part: *part,
            granted: false,
        }
    }
}

impl Group {
    /// Returns the sum of the members' parts, without the leader's.
    pub(crate) fn member_tokens(&self) -> Tokens {
        let members = self.members.iter();
        let others = members.filter(|member| member.part.upstream != self.leader);
        others.map(|member| member.part.kv_tokens).sum()
    }

    fn is_ready(&self, cx: &Context<'_>) -> bool {
        let mut members = self.members.iter();
        members.all(|member| cx.fleet.accepts_work(member.part.upstream))
    }
}

fn renewal_ms(cx: &Context<'_>) -> SpanMs {
    SpanMs(cx.settings.hold_ms.0 / RENEWALS_PER_HOLD)
}
