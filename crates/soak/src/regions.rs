//! Cuts between the two regions: hosts and servers of one lose those of the other, and one of the
//! regions loses the store.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::{FaultProxy, LinkFault};

/// The links from the other region to the hosts and servers of a region.
#[derive(Debug, Default)]
pub(crate) struct RegionLinks {
    proxies: Vec<FaultProxy>,
    /// The address of each host and server, and the one by which the other region reaches it.
    translations: Vec<(String, String)>,
}

impl RegionLinks {
    /// Adds a link to an address.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub(crate) async fn add(&mut self, address: SocketAddr, own: SocketAddr) -> io::Result<()> {
        let proxy = FaultProxy::start(own, address).await?;
        let translation = (address.to_string(), proxy.address().to_string());
        self.translations.push(translation);
        self.proxies.push(proxy);
        Ok(())
    }

    /// The texts that stand for addresses of this region in what the other one reads from the store.
    pub(crate) fn translations(&self) -> Vec<(String, String)> {
        self.translations.clone()
    }

    fn set_fault(&self, fault: LinkFault) {
        for proxy in &self.proxies {
            proxy.set_fault(fault);
        }
    }
}

/// A cut that lasts until a given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegionCut {
    /// Fault of the links to each region.
    pub(crate) faults: [LinkFault; 2],
    /// The region that loses the store, if one does.
    pub(crate) storeless: Option<usize>,
    pub(crate) until: Instant,
}

impl RegionCut {
    /// A cut from now on, in one direction or both.
    pub(crate) fn new(faults: [LinkFault; 2], storeless: Option<usize>, length: Duration) -> Self {
        Self {
            faults,
            storeless,
            until: Instant::now() + length,
        }
    }

    /// Sets the links to the two regions.
    pub(crate) fn apply(&self, links: &[RegionLinks; 2]) {
        for (links, fault) in links.iter().zip(self.faults) {
            links.set_fault(fault);
        }
    }
}

/// Ends the faults of all links.
pub(crate) fn heal(links: &[RegionLinks; 2]) {
    for links in links {
        links.set_fault(LinkFault::None);
    }
}
