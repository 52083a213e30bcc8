//! Whether the changes of a table that peers send are enough, or all of its rows are needed.

/// Number of transfers in a row that may leave open whether something is missing, as rows arrived
/// beside them, before all rows are needed.
const MAX_UNCLEAR_TRANSFERS: u32 = 3;

/// What one transfer has led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferResult {
    /// True if all rows were sent, rather than changes.
    pub is_whole: bool,
    /// True if the content held here afterwards equals the sender's.
    pub is_complete: bool,
    /// True if rows are held here that the sender did not know.
    pub holds_newer_rows: bool,
}

/// What the last transfers of a table's changes have led to.
///
/// A gateway asks for what has changed since the version that it knows. If it has missed an earlier
/// change, those lead to other content than the sender's, and only all rows help. Rows that arrive
/// otherwise meanwhile make the content differ too, and nothing is missing then.
#[derive(Debug, Default)]
pub struct ChangeTransfers {
    unclear: u32,
}

impl ChangeTransfers {
    /// Records what a transfer has led to.
    pub fn record(&mut self, result: TransferResult) {
        let TransferResult { is_whole, is_complete, holds_newer_rows } = result;
        self.unclear = match (is_complete, holds_newer_rows) {
            (true, _) => 0,
            (false, false) => MAX_UNCLEAR_TRANSFERS,
            (false, true) if is_whole => 0,
            (false, true) => self.unclear + 1,
        };
    }

    /// Returns true if changes are enough for the next transfer.
    pub fn are_enough(&self) -> bool {
        self.unclear < MAX_UNCLEAR_TRANSFERS
    }
}
