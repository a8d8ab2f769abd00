//! The loopback addresses of a run.

use anyhow::{Result, bail};
use bellsill_core::interface::EndpointId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const ENDPOINT_PORT: u16 = 7_400;
const PLATFORM_PORT: u16 = 7_401;
const LISTEN_PORT: u16 = 7_402;
/// Loopback nets that are tried: one run has one to itself.
const NETS: std::ops::Range<u8> = 32..224;

/// Where everything of a run listens: 127.net.x.y.
#[derive(Clone, Copy)]
pub(super) struct Net(pub(super) u8);

impl Net {
    fn addr(self, n: usize, port: u16) -> SocketAddr {
        // The last number is never 0 or 255.
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(
                127,
                self.0,
                (n / 250) as u8,
                (n % 250) as u8 + 1,
            )),
            port,
        )
    }
    pub(super) fn endpoint(self, endpoint: EndpointId) -> SocketAddr {
        self.addr(endpoint.0 as usize, ENDPOINT_PORT)
    }
    pub(super) fn platform(self, dispatcher: usize) -> SocketAddr {
        self.addr(dispatcher, PLATFORM_PORT)
    }
    pub(super) fn listen(self, dispatcher: usize) -> SocketAddr {
        self.addr(dispatcher, LISTEN_PORT)
    }
    /// A net in which nobody listens, and the listener that keeps it so.
    pub(super) fn free() -> Result<(Net, std::net::TcpListener)> {
        let first = std::process::id() as u8;
        for i in 0..NETS.len() {
            let net = Net(NETS.start + (first as usize + i) as u8 % NETS.len() as u8);
            let at = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, 255, 1)), ENDPOINT_PORT);
            if let Ok(listener) = std::net::TcpListener::bind(at) {
                return Ok((net, listener));
            }
        }
        bail!(
            "no loopback net is free: expected one of 127.{}.0.0 to 127.{}.0.0",
            NETS.start,
            NETS.end - 1
        )
    }
}
