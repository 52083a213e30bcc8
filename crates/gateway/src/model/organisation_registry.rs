//! The organisations of a configuration, by their keys.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::CallerKey;
use super::KeyDigest;
use super::Organisation;

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

/// The organisations of one configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OrganisationRegistry {
    organisations: Vec<Arc<Organisation>>,
    /// Indices into `organisations`, by key.
    keys: HashMap<KeyDigest, usize>,
}

impl OrganisationRegistry {
    /// Adds an organisation with its keys.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.organisations.len();
        self.organisations.push(Arc::new(organisation));
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// Returns the caller that sent `key`. Routes for which `is_open` is true need no key.
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

    /// Iterates over all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    /// Iterates over the keys of all organisations.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.keys.keys()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns true when there are no organisations; requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}
