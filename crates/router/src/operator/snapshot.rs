//! Snapshots: copies of the rows that operators have set, kept in the platform's object store.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use umberglade_wire::WireError;
use umberglade_wire::platform::CONTROL_TABLE;
use umberglade_wire::platform::PRESETS_TABLE;
use umberglade_wire::platform::Row;

use super::OperatorActions;
use super::OperatorError;
use super::into_row;

/// The prefix of snapshot names in the object store.
const SNAPSHOT_PREFIX: &str = "snapshots/";

/// The contents of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotContents {
    /// The operator who saved it.
    pub by: String,
    pub presets: Vec<Row>,
    pub control: Vec<Row>,
}

impl OperatorActions {
    /// Saves all preset and control rows as snapshot `name`. Returns the number of rows saved.
    pub async fn save_snapshot(&self, name: &str) -> Result<usize, OperatorError> {
        let presets = self.rows(PRESETS_TABLE).await?;
        let control = self.rows(CONTROL_TABLE).await?;
        let count = presets.len() + control.len();
        let contents = SnapshotContents { by: self.actor.clone(), presets, control };
        let body = Bytes::from(serde_json::to_vec(&contents).expect("serialising a snapshot"));
        self.platform
            .put_object(&object_name(name), body)
            .await
            .map_err(|source| platform("write snapshot", source))?;
        Ok(count)
    }

    /// Returns the names of all snapshots.
    pub async fn list_snapshots(&self) -> Result<Vec<String>, OperatorError> {
        let list = self
            .platform
            .list_objects(SNAPSHOT_PREFIX)
            .await
            .map_err(|source| platform("list snapshots", source))?;
        let short = |name: &String| name.trim_start_matches(SNAPSHOT_PREFIX).to_owned();
        Ok(list.names.iter().map(short).collect())
    }

    /// Writes back the rows of snapshot `name` that differ, each as a new version conditional on
    /// the one just read. Daemons apply them like any other change, and an operator who changes a
    /// row in the meantime causes a conflict. Returns the number of rows written.
    pub async fn restore_snapshot(&self, name: &str) -> Result<usize, OperatorError> {
        let body = self
            .platform
            .get_object(&object_name(name))
            .await
            .map_err(|source| platform("read snapshot", source))?
            .ok_or_else(|| OperatorError::NoSuchSnapshot { name: name.to_owned() })?;
        let contents: SnapshotContents = serde_json::from_slice(&body).map_err(|error| {
            let what = format!("snapshots/{name}");
            OperatorError::Malformed { what, message: error.to_string() }
        })?;
        let presets = self.restore_table(PRESETS_TABLE, &contents.presets).await?;
        let control = self.restore_table(CONTROL_TABLE, &contents.control).await?;
        Ok(presets + control)
    }

    async fn restore_table(
        &self,
        table: &'static str,
        rows: &[Row],
    ) -> Result<usize, OperatorError> {
        let current = self.rows(table).await?;
        let mut count = 0;
        for row in rows {
            let existing = current.iter().find(|existing| existing.key == row.key);
            if existing.is_some_and(|existing| existing.value == row.value) {
                continue;
            }
            let version = existing.map_or(0, |existing| existing.version);
            let outcome = self
                .platform
                .put_checked(table, &row.key, version, &row.value)
                .await
                .map_err(|source| platform("restore row", source))?;
            into_row(outcome, format!("{table}/{}", row.key))?;
            count += 1;
        }
        Ok(count)
    }

    async fn rows(&self, table: &'static str) -> Result<Vec<Row>, OperatorError> {
        let list = self.platform.list(table).await;
        list.map(|list| list.rows).map_err(|source| platform("list rows", source))
    }
}

fn object_name(name: &str) -> String {
    format!("{SNAPSHOT_PREFIX}{name}")
}

fn platform(step: &'static str, source: WireError) -> OperatorError {
    OperatorError::Platform { step, source }
}
