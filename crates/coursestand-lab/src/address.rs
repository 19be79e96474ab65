//! Loopback addresses for deployments that run side by side on one machine.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use snafu::{OptionExt, Snafu};

/// First port on each address.
const FIRST_PORT: u16 = 20_000;
const TRIES: u32 = 1_000;

/// No loopback address is free.
#[derive(Debug, Snafu)]
#[snafu(display("no loopback address is free"))]
pub struct NoAddress;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Hands out ports on one loopback address that no other process uses.
#[derive(Debug)]
pub struct AddressBook {
    host: Ipv4Addr,
    next_port: u16,
}

impl AddressBook {
    /// Takes an address of 127.0.0.0/8, chosen by process and call, so that
    /// deployments of several tests never meet.
    pub fn take() -> Result<AddressBook, NoAddress> {
        (0..TRIES)
            .find_map(|_| AddressBook::try_next())
            .context(NoAddressSnafu)
    }

    fn try_next() -> Option<AddressBook> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let seed = std::process::id().wrapping_mul(64).wrapping_add(number);
        let [_, high, middle, low] = seed.wrapping_mul(2_654_435_761).to_be_bytes();
        let host = Ipv4Addr::new(127, high.max(1), middle, low.clamp(1, 254));
        TcpListener::bind((host, FIRST_PORT)).ok()?;
        Some(AddressBook {
            host,
            next_port: FIRST_PORT,
        })
    }

    /// Ports from `first` on, on the usual loopback address.
    pub fn fixed(first: u16) -> AddressBook {
        AddressBook {
            host: Ipv4Addr::LOCALHOST,
            next_port: first,
        }
    }

    /// The next address.
    pub fn next_address(&mut self) -> SocketAddr {
        let address = SocketAddr::new(IpAddr::V4(self.host), self.next_port);
        self.next_port += 1;
        address
    }
}
