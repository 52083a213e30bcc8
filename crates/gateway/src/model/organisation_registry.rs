//! The organisations of a configuration, by their keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use super::CallerKey;
use super::KeyDigest;
use super::Organisation;
use super::OrganisationName;

/// The caller of a request, according to the configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerLookup {
    /// The configuration contains no organisations, or the route is open to all and no known key
    /// was sent.
    Anonymous,
    Known(Arc<Organisation>),
    /// No organisation has the key, or the route needs one and none was sent.
    UnknownKey,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntry {
    pub organisation: Arc<Organisation>,
    /// Invariant: sorted, each key once.
    pub keys: Vec<KeyDigest>,
}

/// The organisations of one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationRegistry {
    entries: BTreeMap<OrganisationName, Arc<OrganisationEntry>>,
    /// Holders of keys. Invariant: of several organisations with one key, the last by name.
    holders: FxHashMap<KeyDigest, Arc<Organisation>>,
}

impl OrganisationRegistry {
    /// Adds an organisation with its keys. One of the same name is replaced and keeps its keys.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = KeyDigest>) {
        let mut keys: Vec<KeyDigest> = keys.into_iter().collect();
        if let Some(known) = self.entries.get(&organisation.name) {
            keys.extend(&known.keys);
        }
        keys.sort_unstable();
        keys.dedup();
        self.insert(Arc::new(OrganisationEntry { organisation: Arc::new(organisation), keys }));
    }

    /// Returns the registry without the organisations named `removed`, and with `put` in place of
    /// those of the same names.
    pub fn changed(
        &self,
        removed: &[OrganisationName],
        put: impl IntoIterator<Item = Arc<OrganisationEntry>>,
    ) -> Self {
        let mut entries = self.entries.clone();
        for name in removed {
            entries.remove(name);
        }
        for entry in put {
            entries.insert(Arc::clone(&entry.organisation.name), entry);
        }
        let mut registry = OrganisationRegistry::default();
        entries.into_values().for_each(|entry| registry.insert(entry));
        registry
    }

    fn insert(&mut self, entry: Arc<OrganisationEntry>) {
        let organisation = &entry.organisation;
        for key in &entry.keys {
            let holder = self.holders.entry(*key).or_insert_with(|| Arc::clone(organisation));
            if holder.name <= organisation.name {
                *holder = Arc::clone(organisation);
            }
        }
        self.entries.insert(Arc::clone(&organisation.name), entry);
    }

    /// Returns the caller that sent `key`. Routes for which `is_open` is true need no key.
    pub fn caller(&self, key: &CallerKey, is_open: bool) -> CallerLookup {
        if self.is_empty() {
            return CallerLookup::Anonymous;
        }
        let holder = match key {
            CallerKey::Sent(digest) => self.holders.get(digest),
            CallerKey::None | CallerKey::Malformed => None,
        };
        match holder {
            Some(organisation) => CallerLookup::Known(Arc::clone(organisation)),
            None if is_open => CallerLookup::Anonymous,
            None => CallerLookup::UnknownKey,
        }
    }

    /// Returns the organisation called `name` and its keys.
    pub fn entry(&self, name: &str) -> Option<&Arc<OrganisationEntry>> {
        self.entries.get(name)
    }

    /// Iterates over all organisations and their keys, by name.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<OrganisationEntry>> {
        self.entries.values()
    }

    /// Iterates over all organisations, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.entries.values().map(|entry| &entry.organisation)
    }

    /// Iterates over the keys of all organisations.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.holders.keys()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when there are no organisations; requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
