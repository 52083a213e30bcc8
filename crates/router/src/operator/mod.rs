//! Operators' actions on the platform's tables: the logic of `umberctl`, which `umberglade dev`
//! also uses to write its initial rows.
//!
//! Every action is a conditional write on a version that was read before. If two operators act at
//! the same time, one write succeeds and the other returns [`OperatorError::Conflict`]; neither is
//! silently overwritten.

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

/// The reason an operator's action did not take effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OperatorError {
    /// The platform could not be reached or rejected the call.
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
    /// A row in the table does not have the fields this version expects.
    #[snafu(display("row {what} is malformed: {message}"))]
    Malformed { what: String, message: String },
}

/// One daemon according to its membership row.
#[derive(Debug, Clone)]
pub struct MemberInfo {
    pub record: MemberRecord,
    /// The time since its last renewal, by the table service's clock.
    pub age: Duration,
    pub is_live: bool,
}

/// Performs operators' actions on the platform's tables.
#[derive(Debug, Clone)]
pub struct OperatorActions {
    pub platform: PlatformClient,
    /// The name of the operator for the audit trail (`"night-shift/alice"`).
    pub actor: String,
}

impl OperatorActions {
    /// Validates the TOML `text` and writes it as preset `name`. `expect_version` is the version
    /// the operator read, or 0 for a new preset.
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
        into_row(outcome, format!("preset `{name}`"))
    }

    /// Activates preset `name`, as currently stored, on all daemons. `expect_active` is the version
    /// of the active row that the operator read. If another preset was activated since, this
    /// returns a conflict.
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
        into_row(outcome, "the active preset".to_owned())
    }

    /// Returns the active preset and its row's version, or `None` if none was ever activated.
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

    /// Adds organisation `name` with `api_keys`, or replaces it. On a conflict the row is read and
    /// changed again, so the other organisations are kept.
    pub async fn set_organisation(
        &self,
        name: &str,
        api_keys: Vec<String>,
    ) -> Result<Row, OperatorError> {
        let entry = OrganisationEntry { api_keys };
        self.update_control_row::<OrganisationRegistry>(ORGANISATIONS_KEY, |registry| {
            registry.organisations.insert(name.to_owned(), entry.clone());
        })
        .await
    }

    /// Drains backend server `server`: daemons send it no new requests.
    pub async fn drain(&self, server: &str) -> Result<Row, OperatorError> {
        let order = DrainOrder { server: server.to_owned(), by: self.actor.clone() };
        self.update_control_row::<DrainRegistry>(DRAINS_KEY, |registry| {
            registry.servers.insert(server.to_owned(), order.clone());
        })
        .await
    }

    /// Returns a drained server to service.
    pub async fn undrain(&self, server: &str) -> Result<Row, OperatorError> {
        self.update_control_row::<DrainRegistry>(DRAINS_KEY, |registry| {
            registry.servers.remove(server);
        })
        .await
    }

    /// Requests that `server` serves `role`. The leader then sends the order.
    pub async fn set_role_order(
        &self,
        server: &str,
        role: EngineRole,
    ) -> Result<Row, OperatorError> {
        let order = RoleOrder { role, by: self.actor.clone() };
        self.update_control_row::<RoleOrderRegistry>(ROLE_ORDERS_KEY, |registry| {
            registry.servers.insert(server.to_owned(), order.clone());
        })
        .await
    }

    /// Returns every daemon's membership row and whether its lease is live.
    pub async fn members(&self, lease: Duration) -> Result<Vec<MemberInfo>, OperatorError> {
        let list = self
            .platform
            .list(MEMBERS_TABLE)
            .await
            .map_err(|source| OperatorError::Platform { step: "list members", source })?;
        let mut members = Vec::new();
        for row in &list.rows {
            let record = serde_json::from_value(row.value.clone()).map_err(|error| {
                let what = format!("members/{}", row.key);
                OperatorError::Malformed { what, message: error.to_string() }
            })?;
            let age = Duration::from_millis(list.now_ms.saturating_sub(row.written_ms));
            members.push(MemberInfo { record, age, is_live: age < lease });
        }
        Ok(members)
    }

    /// Reads row `key`, applies `change` and writes it conditionally. On a conflict it starts over,
    /// up to a fixed number of attempts.
    async fn update_control_row<T>(
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
            let (version, mut registry) = match row {
                Some(row) => {
                    let registry = serde_json::from_value(row.value).map_err(|error| {
                        OperatorError::Malformed {
                            what: format!("control/{key}"),
                            message: error.to_string(),
                        }
                    })?;
                    (row.version, registry)
                }
                None => (0, T::default()),
            };
            change(&mut registry);
            let outcome =
                self.platform.put_checked(CONTROL_TABLE, key, version, &registry).await.map_err(
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

fn into_row(outcome: WriteOutcome, what: String) -> Result<Row, OperatorError> {
    match outcome {
        WriteOutcome::Written(row) => Ok(row),
        WriteOutcome::Conflict { current_version } => {
            Err(OperatorError::Conflict { what, current_version })
        }
    }
}
