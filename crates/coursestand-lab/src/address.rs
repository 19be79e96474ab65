//! Allocates loopback addresses for deployments that run concurrently on one machine.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use snafu::{OptionExt, Snafu};

/// First port of each address; that it can be bound shows that the address is free.
const FIRST_PORT: u16 = 20_000;
const MAX_TRIES: u32 = 1_000;

/// No loopback address is free.
#[derive(Debug, Snafu)]
#[snafu(display("no loopback address is free"))]
pub struct NoAddress;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Allocates ports on one loopback address that no other process uses.
#[derive(Debug)]
pub struct AddressAllocator {
    host: Ipv4Addr,
    next_port: u16,
}

impl AddressAllocator {
    /// Reserves a free address of 127.0.0.0/8, chosen by process and call, so that the
    /// deployments of concurrent tests don't share one.
    pub fn reserve() -> Result<AddressAllocator, NoAddress> {
        (0..MAX_TRIES)
            .find_map(|_| AddressAllocator::try_next())
            .context(NoAddressSnafu)
    }

    fn try_next() -> Option<AddressAllocator> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let seed = std::process::id().wrapping_mul(64).wrapping_add(number);
        let [_, high, middle, low] = seed.wrapping_mul(2_654_435_761).to_be_bytes();
        let host = Ipv4Addr::new(127, high.max(1), middle, low.clamp(1, 254));
        TcpListener::bind((host, FIRST_PORT)).ok()?;
        Some(AddressAllocator {
            host,
            next_port: FIRST_PORT,
        })
    }

    /// Returns an allocator of ports from `first` on 127.0.0.1.
    pub fn fixed(first: u16) -> AddressAllocator {
        AddressAllocator {
            host: Ipv4Addr::LOCALHOST,
            next_port: first,
        }
    }

    /// Returns the next address.
    pub fn next_address(&mut self) -> SocketAddr {
        let address = SocketAddr::new(IpAddr::V4(self.host), self.next_port);
        self.next_port += 1;
        address
    }
}
