//! The routes of one host.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::RoutePrefix;
use super::SharedRoute;

/// The routes of one host, by prefix.
///
/// A look-up costs one hash of the path for each length that prefixes have, however many routes
/// there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostRoutes {
    by_prefix: FxHashMap<RoutePrefix, SharedRoute>,
    /// Number of prefixes of each length. Invariant: counts those in `by_prefix`; none is 0.
    lengths: BTreeMap<usize, usize>,
}

impl HostRoutes {
    /// Adds a route, in place of the one with the same prefix if there is one.
    pub(super) fn insert(&mut self, route: SharedRoute) {
        let prefix = Arc::clone(&route.prefix);
        let length = prefix.len();
        if self.by_prefix.insert(prefix, route).is_none() {
            *self.lengths.entry(length).or_default() += 1;
        }
    }

    /// Removes the route with `prefix`, if there is one.
    pub(super) fn remove(&mut self, prefix: &str) {
        if self.by_prefix.remove(prefix).is_none() {
            return;
        }
        if let Some(count) = self.lengths.get_mut(&prefix.len()) {
            *count -= 1;
            if *count == 0 {
                self.lengths.remove(&prefix.len());
            }
        }
    }

    /// Returns the route whose prefix is the longest that matches `path`.
    pub fn find(&self, path: &str) -> Option<&SharedRoute> {
        let prefixes = self.lengths.keys().rev().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| self.by_prefix.get(prefix)).next()
    }

    /// Returns the route with exactly `prefix`.
    pub fn get(&self, prefix: &str) -> Option<&SharedRoute> {
        self.by_prefix.get(prefix)
    }

    /// Iterates over the routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &SharedRoute> {
        self.by_prefix.values()
    }

    pub fn len(&self) -> usize {
        self.by_prefix.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_prefix.is_empty()
    }
}
