//! The version of the configuration in force never decreases.

use std::collections::HashMap;

use proptest::prelude::*;
use umberglade_gateway::cluster::HeldConfig;
use umberglade_gateway::cluster::InForce;
use umberglade_gateway::cluster::InForceChange;
use umberglade_gateway::model::CallerLimits;
use umberglade_gateway::model::ConfigId;
use umberglade_gateway::model::RouteTable;
use umberglade_gateway::model::StoreStamp;

fn config(row_version: u64, version: u64) -> HeldConfig {
    let table = RouteTable::new(version, Vec::new(), HashMap::new(), CallerLimits::default());
    HeldConfig::new(ConfigId { stamp: StoreStamp::new(0, row_version), version }, 0, table)
}

fn apply(in_force: &mut InForce, row_version: u64, version: u64) -> InForceChange {
    in_force.apply_if_newer(config(row_version, version), None)
}

#[test]
fn only_newer_tables_are_applied() {
    struct Case {
        name: &'static str,
        tables: &'static [(u64, u64)],
        expected: Option<u64>,
    }
    let cases = [
        Case { name: "none yet", tables: &[], expected: None },
        Case { name: "newer ones", tables: &[(1, 3), (2, 8)], expected: Some(8) },
        Case { name: "an older row", tables: &[(5, 8), (2, 3)], expected: Some(8) },
        Case {
            name: "an older version in a newer row",
            tables: &[(5, 8), (6, 3)],
            expected: Some(8),
        },
    ];
    for case in cases {
        let mut in_force = InForce::default();
        for (row, version) in case.tables {
            apply(&mut in_force, *row, *version);
        }
        let version = in_force.table().map(|table| table.version);
        assert_eq!(version, case.expected, "{}", case.name);
    }
}

#[test]
fn the_change_names_the_previous_version() {
    let mut in_force = InForce::default();
    assert_eq!(apply(&mut in_force, 1, 3), InForceChange::Applied { before: None });
    assert_eq!(apply(&mut in_force, 2, 4), InForceChange::Applied { before: Some(3) });
    assert_eq!(apply(&mut in_force, 2, 4), InForceChange::NotNewer { current: 4 });
}

proptest! {
    #[test]
    fn the_version_never_decreases(tables in prop::collection::vec((0u64..50, 0u64..50), 0..100)) {
        let mut in_force = InForce::default();
        let mut newest = 0;
        for (row, version) in tables {
            apply(&mut in_force, row, version);
            let current = in_force.table().map_or(0, |table| table.version);
            prop_assert!(current >= newest);
            newest = current;
        }
    }
}
