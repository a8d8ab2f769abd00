//! The loopback addresses of a run.

use anyhow::{Result, bail};
use bellsill_core::interface::EndpointId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const ENDPOINT_PORT: u16 = 7_400;
const PLATFORM_PORT: u16 = 7_401;
const LISTEN_PORT: u16 = 7_402;
/// Second octets of the loopback networks to try; each run uses one network exclusively.
const NETWORKS: std::ops::Range<u8> = 32..224;

/// The loopback network of a run, given by its second octet: all its listeners are at 127.net.x.y.
#[derive(Clone, Copy)]
pub(super) struct Net(pub(super) u8);

impl Net {
    fn addr(self, n: usize, port: u16) -> SocketAddr {
        // The last octet is never 0 or 255.
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
    /// Reserves a free network. The returned listener marks it as used for as long as it exists.
    pub(super) fn reserve() -> Result<(Net, std::net::TcpListener)> {
        let offset = std::process::id() as u8;
        for i in 0..NETWORKS.len() {
            let net = Net(NETWORKS.start + (offset as usize + i) as u8 % NETWORKS.len() as u8);
            let at = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, 255, 1)), ENDPOINT_PORT);
            if let Ok(listener) = std::net::TcpListener::bind(at) {
                return Ok((net, listener));
            }
        }
        bail!(
            "no free loopback network: 127.{}.0.0 to 127.{}.0.0 are all in use",
            NETWORKS.start,
            NETWORKS.end - 1
        )
    }
}
