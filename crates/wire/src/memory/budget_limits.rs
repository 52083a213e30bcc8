//! The sizes of a process's budget, from the limits of its machine.

/// Bytes of a megabyte in settings.
const MEGABYTE_BYTES: usize = 1_000_000;
/// What a process takes that serves nobody, in bytes.
const OWN_BYTES: usize = 14 * MEGABYTE_BYTES;
/// Memory of a machine that states none, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 128;
/// Descriptors of a machine that states none.
const DEFAULT_DESCRIPTORS: u32 = 4_100;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Smallest number of connections that a process admits.
const MIN_CONNECTIONS: usize = 16;

/// The limits of a process's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Megabytes that the process may take, with the bytes that its callers have sent and it has
    /// not read.
    pub memory_mb: u32,
    /// Descriptors that it may open, 200 of them for files.
    pub descriptors: u32,
}

impl ProcessLimits {
    /// Returns how many sockets and pipes the process may open.
    pub fn sockets(&self) -> usize {
        (self.descriptors as usize).saturating_sub(FILE_DESCRIPTORS)
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: DEFAULT_MEMORY_MB, descriptors: DEFAULT_DESCRIPTORS }
    }
}

/// The sizes of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that all callers together may take: half of the memory beyond [`OWN_BYTES`]. The rest
    /// is for tables, for what is read of servers, and for what the allocator keeps.
    pub bytes: usize,
    /// Of these, bytes that large draws may take: the rest is for connections and short requests.
    pub large_bytes: usize,
    /// Bytes that the draws of one organisation may take.
    pub organisation_bytes: usize,
    /// Connections of callers: two thirds of the sockets. The rest is for servers, other instances
    /// and the store.
    pub connections: usize,
}

impl BudgetLimits {
    /// No bounds, for stand-ins and tests.
    pub const UNLIMITED: BudgetLimits = BudgetLimits {
        bytes: usize::MAX / 4,
        large_bytes: usize::MAX / 4,
        organisation_bytes: usize::MAX / 4,
        connections: usize::MAX / 4,
    };
}

impl From<ProcessLimits> for BudgetLimits {
    fn from(limits: ProcessLimits) -> Self {
        let memory = limits.memory_mb as usize * MEGABYTE_BYTES;
        let bytes = memory.saturating_sub(OWN_BYTES) / 2;
        BudgetLimits {
            bytes,
            large_bytes: bytes / 4 * 3,
            organisation_bytes: bytes / 2,
            connections: (limits.sockets() / 3 * 2).max(MIN_CONNECTIONS),
        }
    }
}
