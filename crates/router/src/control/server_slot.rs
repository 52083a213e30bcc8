//! One backend server as this daemon tracks it.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use umberglade_wire::platform::InstanceEntry;

/// A backend server and this daemon's own count of the work it sent there.
///
/// The count corrects the server's load reports, which lag: work this
/// daemon placed a moment ago is counted at once.
#[derive(Debug)]
pub struct ServerSlot {
    pub entry: InstanceEntry,
    /// Requests this daemon has in flight on the server.
    in_flight: AtomicU32,
}

/// Takes one unit of a slot's in-flight count and gives it back when
/// dropped, on every path out of a step.
#[derive(Debug)]
pub struct InFlightGuard {
    slot: Arc<ServerSlot>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.slot.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServerSlot {
    /// A slot for `entry` with nothing in flight.
    pub fn new(entry: InstanceEntry) -> Self {
        ServerSlot { entry, in_flight: AtomicU32::new(0) }
    }

    /// A slot for `entry` that keeps `previous`'s in-flight count.
    pub fn carried(entry: InstanceEntry, previous: &ServerSlot) -> Self {
        let count = previous.in_flight();
        ServerSlot { entry, in_flight: AtomicU32::new(count) }
    }

    /// Requests this daemon has in flight on the server now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts one more request in flight until the guard drops.
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { slot: Arc::clone(self) }
    }
}
