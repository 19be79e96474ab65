//! Callers of a region whose links are full are told to use daemons of other regions,
//! as far as these have room and no further; links without a queue change nothing.
#![allow(missing_docs)]

use coursestand_discovery::{Directory, EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;
use std::net::SocketAddr;

const NEAR: u8 = 20;
const FAR: u8 = 40;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

fn edge(host: u8) -> EdgeRecord {
    let region = if host <= NEAR { "a" } else { "b" };
    EdgeRecord {
        name: format!("edge-{host}"),
        incarnation: 1,
        address: address(host),
        admin_address: address(host),
        zone: ZoneId::from(format!("{region}-1").as_str()),
        region: RegionId::from(region),
        phase: EdgePhase::Ready,
    }
}

struct Fleet {
    directory: Directory,
    number: u32,
}

impl Fleet {
    fn new() -> Fleet {
        let mut directory = Directory::default();
        for host in 1..=NEAR + FAR {
            directory.connect(SocketAddr::from(([10, 0, 1, 1], 1)), &edge(host));
        }
        Fleet {
            directory,
            number: 7,
        }
    }

    /// Each daemon tells its use once.
    fn tell(&mut self, near: f64, far: f64) {
        for host in 1..=NEAR + FAR {
            let link_use = if host <= NEAR { near } else { far };
            let name = format!("edge-{host}");
            self.directory
                .note_link_use(&name, 1, link_use.min(255.0) as u8);
        }
    }

    /// Part of the callers of region `a` that reach far daemons: each chooses one of
    /// the addresses that it is told.
    fn far_part(&mut self) -> f64 {
        const LOOK_UPS: usize = 400;
        let mut sum = 0.0;
        for _ in 0..LOOK_UPS {
            let number = &mut self.number;
            let draw = || {
                *number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                f64::from(*number) / (f64::from(u32::MAX) + 1.0)
            };
            let region = RegionId::from("a");
            let named = self
                .directory
                .resolve(0, &region, &ZoneId::from("a-1"), 64, draw);
            let far = named.iter().filter(|one| {
                let SocketAddr::V4(one) = one else {
                    return false;
                };
                one.ip().octets()[3] > NEAR
            });
            sum += far.count() as f64 / named.len() as f64;
        }
        sum / LOOK_UPS as f64
    }

    /// Rounds of a second in which callers follow what they are told by a third; the
    /// uses are those of this demand, in parts of a link. Returns the far part.
    fn play(&mut self, rounds: usize, near_demand: f64, far_demand: f64) -> Vec<f64> {
        let mut followed = 0.0;
        let mut parts = Vec::new();
        for _ in 0..rounds {
            let near = near_demand * (1.0 - followed) * 100.0;
            let moved = near_demand * followed * f64::from(NEAR) / f64::from(FAR);
            self.tell(near, (far_demand + moved) * 100.0);
            followed += (self.far_part() - followed) / 3.0;
            parts.push(followed);
        }
        parts
    }
}

#[gtest]
fn a_region_with_room_keeps_its_callers() {
    let mut fleet = Fleet::new();
    expect_that!(fleet.play(10, 0.79, 0.3), each(eq(&0.0)));
}

#[gtest]
fn what_the_near_links_cannot_carry_goes_to_far_ones() {
    let mut fleet = Fleet::new();
    let parts = fleet.play(30, 1.6, 0.2);
    // Half stays: 0.8 of the near links. 0.6 of the far ones are used then.
    expect_that!(parts[10], ge(0.4));
    expect_that!(parts[20..], each(all![ge(&0.45), le(&0.55)]));
}

#[gtest]
fn far_links_are_not_filled_by_others_callers() {
    let mut fleet = Fleet::new();
    let parts = fleet.play(30, 2.4, 0.6);
    // There is room for 0.2 of each far link: a sixth of the demand.
    expect_that!(parts[20..], each(all![ge(&0.1), le(&0.22)]));
    let parts = Fleet::new().play(30, 2.4, 0.9);
    expect_that!(parts[20..], each(le(&0.02)));
}

#[gtest]
fn callers_come_back_when_the_near_links_have_room() {
    let mut fleet = Fleet::new();
    fleet.play(20, 1.6, 0.2);
    for _ in 0..20 {
        fleet.tell(20.0, 20.0);
    }
    expect_that!(fleet.far_part(), le(0.01));
}
