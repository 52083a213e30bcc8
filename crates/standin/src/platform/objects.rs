//! The object store of the platform stand-in, which maps names to raw bytes.

use std::collections::BTreeMap;

use bytes::Bytes;
use umberglade_wire::platform::ObjectList;

/// The stored objects, by name.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, Bytes>,
}

impl ObjectStore {
    /// Stores `body` under `name`, replacing any object there.
    pub fn put(&mut self, name: &str, body: Bytes) {
        self.objects.insert(name.to_owned(), body);
    }

    /// Returns the object under `name`.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Removes the object under `name`. Returns true when there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        self.objects.remove(name).is_some()
    }

    /// Returns the names that start with `prefix`, sorted.
    pub fn list(&self, prefix: &str) -> ObjectList {
        let names = self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect();
        ObjectList { names }
    }
}
