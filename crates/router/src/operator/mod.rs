//! Operators' actions on the platform's table: the logic behind
//! `umberctl`, shared with `umberglade dev` for seeding.
//!
//! Every action is a conditional write on a version the operator read, so
//! two shifts acting at the same moment get one winner and one
//! [`OperatorError::Conflict`], never a silent overwrite.

mod snapshot;

use std::time::Duration;

use snafu::Snafu;
use umberglade_wire::WireError;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::platform::ACTIVE_KEY;
use umberglade_wire::platform::ActivePreset;
use umberglade_wire::platform::CONTROL_TABLE;
use umberglade_wire::platform::DRAINS_KEY;
use umberglade_wire::platform::DrainOrder;
use umberglade_wire::platform::DrainRegistry;
use umberglade_wire::platform::MEMBERS_TABLE;
use umberglade_wire::platform::MemberRecord;
use umberglade_wire::platform::ORGANISATIONS_KEY;
use umberglade_wire::platform::OrganisationEntry;
use umberglade_wire::platform::OrganisationRegistry;
use umberglade_wire::platform::PRESETS_TABLE;
use umberglade_wire::platform::ROLE_ORDERS_KEY;
use umberglade_wire::platform::RoleOrder;
use umberglade_wire::platform::RoleOrderRegistry;
use umberglade_wire::platform::Row;

use crate::platform::PlatformClient;
use crate::platform::WriteOutcome;
use crate::preset::Preset;
use crate::preset::PresetError;

/// Why an operator's action did not take effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OperatorError {
    /// The platform could not be reached or refused the call.
    #[snafu(display("{step}: {source}"))]
    Platform { step: &'static str, source: WireError },
    /// Another operator changed the row first; nothing was written.
    #[snafu(display(
        "{what} changed meanwhile (now at version {current_version}); read it again and retry"
    ))]
    Conflict { what: String, current_version: RowVersion },
    /// The preset is not valid.
    #[snafu(display("{source}"))]
    Invalid { source: PresetError },
    /// The named preset does not exist.
    #[snafu(display("no preset named `{name}`"))]
    NoSuchPreset { name: String },
    /// The named snapshot does not exist.
    #[snafu(display("no snapshot named `{name}`"))]
    NoSuchSnapshot { name: String },
    /// A row in the table is not of the shape this version expects.
    #[snafu(display("row {what} is malformed: {message}"))]
    Malformed { what: String, message: String },
}

/// One daemon as its membership row shows it.
#[derive(Debug, Clone)]
pub struct MemberLine {
    pub record: MemberRecord,
    /// Since its last renewal, by the table service's clock.
    pub age: Duration,
    pub is_live: bool,
}

/// The operators' side of the platform's table.
#[derive(Debug, Clone)]
pub struct OperatorActions {
    pub platform: PlatformClient,
    /// Who acts, for the audit trail (`"night-shift/alice"`).
    pub actor: String,
}

impl OperatorActions {
    /// Writes preset `name` from TOML `text` after checking it.
    /// `expect_version` is the version the operator read (0: a new preset).
    pub async fn put_preset(
        &self,
        name: &str,
        text: &str,
        expect_version: RowVersion,
    ) -> Result<Row, OperatorError> {
        let preset = Preset::from_toml(text).map_err(|source| OperatorError::Invalid { source })?;
        let outcome = self
            .platform
            .put_checked(PRESETS_TABLE, name, expect_version, &preset)
            .await
            .map_err(|source| OperatorError::Platform { step: "write preset", source })?;
        written(outcome, format!("preset `{name}`"))
    }

    /// Puts preset `name`, as it stands now, in force everywhere.
    /// `expect_active` is the version of the active row the operator saw;
    /// if another shift activated something since, this is a conflict.
    pub async fn activate(
        &self,
        name: &str,
        expect_active: RowVersion,
    ) -> Result<Row, OperatorError> {
        let row = self
            .platform
            .get(PRESETS_TABLE, name)
            .await
            .map_err(|source| OperatorError::Platform { step: "read preset", source })?
            .ok_or_else(|| OperatorError::NoSuchPreset { name: name.to_owned() })?;
        let active = ActivePreset {
            preset: name.to_owned(),
            preset_version: row.version,
            activated_by: self.actor.clone(),
            body: row.value,
        };
        let outcome = self
            .platform
            .put_checked(CONTROL_TABLE, ACTIVE_KEY, expect_active, &active)
            .await
            .map_err(|source| OperatorError::Platform { step: "activate preset", source })?;
        written(outcome, "the preset in force".to_owned())
    }

    /// The active row, if any preset was ever activated.
    pub async fn active(&self) -> Result<Option<(RowVersion, ActivePreset)>, OperatorError> {
        let row = self
            .platform
            .get(CONTROL_TABLE, ACTIVE_KEY)
            .await
            .map_err(|source| OperatorError::Platform { step: "read active preset", source })?;
        let Some(row) = row else {
            return Ok(None);
        };
        let active = serde_json::from_value(row.value).map_err(|error| {
            OperatorError::Malformed { what: "control/active".into(), message: error.to_string() }
        })?;
        Ok(Some((row.version, active)))
    }

    /// Adds or replaces organisation `name` with `api_keys`, retrying on a
    /// conflict with a fresh read (the change is a merge, not a blind put).
    pub async fn set_organisation(
        &self,
        name: &str,
        api_keys: Vec<String>,
    ) -> Result<Row, OperatorError> {
        let entry = OrganisationEntry { api_keys };
        self.update_book::<OrganisationRegistry>(ORGANISATIONS_KEY, |book| {
            book.organisations.insert(name.to_owned(), entry.clone());
        })
        .await
    }

    /// Drains backend server `server`: daemons send it no new work.
    pub async fn drain(&self, server: &str) -> Result<Row, OperatorError> {
        let order = DrainOrder { server: server.to_owned(), by: self.actor.clone() };
        self.update_book::<DrainRegistry>(DRAINS_KEY, |book| {
            book.servers.insert(server.to_owned(), order.clone());
        })
        .await
    }

    /// Returns a drained server to service.
    pub async fn undrain(&self, server: &str) -> Result<Row, OperatorError> {
        self.update_book::<DrainRegistry>(DRAINS_KEY, |book| {
            book.servers.remove(server);
        })
        .await
    }

    /// Asks for `server` to serve `role`; the holder of the duty orders it.
    pub async fn want_role(&self, server: &str, role: EngineRole) -> Result<Row, OperatorError> {
        let order = RoleOrder { role, by: self.actor.clone() };
        self.update_book::<RoleOrderRegistry>(ROLE_ORDERS_KEY, |book| {
            book.servers.insert(server.to_owned(), order.clone());
        })
        .await
    }

    /// Every daemon's membership row, and which leases are live.
    pub async fn members(&self, lease: Duration) -> Result<Vec<MemberLine>, OperatorError> {
        let list = self
            .platform
            .list(MEMBERS_TABLE)
            .await
            .map_err(|source| OperatorError::Platform { step: "list members", source })?;
        let mut lines = Vec::new();
        for row in &list.rows {
            let record = serde_json::from_value(row.value.clone()).map_err(|error| {
                let what = format!("members/{}", row.key);
                OperatorError::Malformed { what, message: error.to_string() }
            })?;
            let age = Duration::from_millis(list.now_ms.saturating_sub(row.written_ms));
            lines.push(MemberLine { record, age, is_live: age < lease });
        }
        Ok(lines)
    }

    /// Read, change, conditional write; on a conflict, read again. Bounded.
    async fn update_book<T>(
        &self,
        key: &'static str,
        change: impl Fn(&mut T),
    ) -> Result<Row, OperatorError>
    where
        T: serde::Serialize + serde::de::DeserializeOwned + Default,
    {
        const ATTEMPTS: usize = 5;
        let mut last_version = 0;
        for _ in 0..ATTEMPTS {
            let row =
                self.platform.get(CONTROL_TABLE, key).await.map_err(|source| {
                    OperatorError::Platform { step: "read control row", source }
                })?;
            let (version, mut book) = match row {
                Some(row) => {
                    let book = serde_json::from_value(row.value).map_err(|error| {
                        OperatorError::Malformed {
                            what: format!("control/{key}"),
                            message: error.to_string(),
                        }
                    })?;
                    (row.version, book)
                }
                None => (0, T::default()),
            };
            change(&mut book);
            let outcome =
                self.platform.put_checked(CONTROL_TABLE, key, version, &book).await.map_err(
                    |source| OperatorError::Platform { step: "write control row", source },
                )?;
            match outcome {
                WriteOutcome::Written(row) => return Ok(row),
                WriteOutcome::Conflict { current_version } => last_version = current_version,
            }
        }
        Err(OperatorError::Conflict {
            what: format!("control/{key}"),
            current_version: last_version,
        })
    }
}

fn written(outcome: WriteOutcome, what: String) -> Result<Row, OperatorError> {
    match outcome {
        WriteOutcome::Written(row) => Ok(row),
        WriteOutcome::Conflict { current_version } => {
            Err(OperatorError::Conflict { what, current_version })
        }
    }
}
