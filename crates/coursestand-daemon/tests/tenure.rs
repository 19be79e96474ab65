//! The leader's state of daemons with a pending long poll: their progress and phase take effect
//! when the poll arrives, a lease only when the poll is answered.
#![allow(missing_docs)]

use coursestand_coordination::Tables;
use coursestand_coordination::followers::{LEASE_MS, Progress};
use coursestand_coordination::tables::MemberPhase;
use coursestand_coordination::wire::FollowRequest;
use coursestand_daemon::control::tenure::Tenure;
use coursestand_model::DaemonId;
use googletest::prelude::*;

const TERM: u64 = 1;
/// All leases of an earlier leader have expired.
const NOW: u64 = LEASE_MS;

fn request(phase: MemberPhase, version: u64) -> FollowRequest {
    FollowRequest {
        daemon: DaemonId {
            name: "hut-00".to_owned(),
            incarnation: 1,
        },
        zone: "in-kempton".into(),
        address: Some("127.0.0.1:1".to_owned()),
        phase,
        have: version,
        progress: Progress {
            applied: version,
            settled: version,
        },
    }
}

/// Returns a tenure in which the daemon was granted one lease, for version 4.
fn answered_once() -> Tenure {
    let mut tenure = Tenure::new(TERM, 0);
    let first = request(MemberPhase::Serving, 4);
    tenure.record_follower(&first);
    tenure.registry.grant(NOW, &first.daemon, first.progress, 4);
    tenure
}

fn phases(tenure: &Tenure) -> Vec<MemberPhase> {
    tenure
        .member_updates(NOW, &Tables::default())
        .into_iter()
        .map(|(_, member)| member.phase)
        .collect()
}

#[gtest]
fn a_pending_poll_takes_effect_on_arrival() {
    let mut tenure = answered_once();
    expect_that!(tenure.registry.confirmed_by_all(NOW, 9), eq(Some(4)));
    tenure.record_poll(&request(MemberPhase::Leaving, 9));
    expect_that!(tenure.registry.confirmed_by_all(NOW, 9), eq(Some(9)));
    expect_that!(phases(&tenure), elements_are![eq(&MemberPhase::Leaving)]);
    // The answer to an earlier poll must not revert the phase.
    tenure.record_follower(&request(MemberPhase::Serving, 4));
    expect_that!(phases(&tenure), elements_are![eq(&MemberPhase::Leaving)]);
}

#[gtest]
fn a_poll_of_a_daemon_without_a_lease_is_not_recorded_on_arrival() {
    let mut tenure = Tenure::new(TERM, 0);
    tenure.record_poll(&request(MemberPhase::Serving, 4));
    expect_that!(phases(&tenure), is_empty());
    expect_that!(tenure.registry.leased(NOW), is_empty());
}

/// Guards against a daemon that is refused leases for the rest of the term because the
/// leader's lease had expired when the command that freed its slots was applied.
#[gtest]
fn a_later_round_permits_leases_that_an_earlier_one_refused() {
    let mut tenure = answered_once();
    let daemon = request(MemberPhase::Serving, 4).daemon;
    expect_that!(tenure.may_grant_lease(&daemon), eq(true));
    tenure.set_freeing_slots(std::slice::from_ref(&daemon));
    expect_that!(tenure.may_grant_lease(&daemon), eq(false));
    tenure.set_freeing_slots(&[]);
    expect_that!(tenure.may_grant_lease(&daemon), eq(true));
}
