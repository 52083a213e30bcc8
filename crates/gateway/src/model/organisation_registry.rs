//! All organisations of a configuration, by their keys.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::CallerKey;
use super::KeyDigest;
use super::Organisation;

/// Who calls, as the configuration in force says.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerLookup {
    /// Nobody in particular: the configuration names no organisations, or the
    /// route is open to all and no known key was sent.
    Anonymous,
    Known(Arc<Organisation>),
    /// No organisation holds the key.
    UnknownKey,
}

/// The organisations of one configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OrganisationRegistry {
    organisations: Vec<Arc<Organisation>>,
    /// Places in `organisations`, by key.
    keys: HashMap<KeyDigest, usize>,
}

impl OrganisationRegistry {
    /// Adds an organisation that holds `keys`.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.organisations.len();
        self.organisations.push(Arc::new(organisation));
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// Who calls with `key`; routes that are `open` need none.
    pub fn caller(&self, key: &CallerKey, is_open: bool) -> CallerLookup {
        if self.is_empty() {
            return CallerLookup::Anonymous;
        }
        let index = match key {
            CallerKey::Sent(digest) => self.keys.get(digest),
            CallerKey::None | CallerKey::Malformed => None,
        };
        match index {
            Some(index) => CallerLookup::Known(Arc::clone(&self.organisations[*index])),
            None if is_open => CallerLookup::Anonymous,
            None => CallerLookup::UnknownKey,
        }
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    /// The keys of all organisations.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.keys.keys()
    }

    /// Organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// True without any: requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}
