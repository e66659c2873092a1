//! Comparison of two configuration documents, key by key.

use indexmap::IndexMap;

use super::findings::Findings;
use super::ini;

/// Lists the changes from `before` to `after`, one line per key.
pub fn diff(before: &str, after: &str) -> Vec<String> {
    let (old, new) = (key_values(before), key_values(after));
    let mut out = Vec::new();
    for (key, value) in &new {
        match old.get(key) {
            None => out.push(format!("{key}: set to `{value}`")),
            Some(was) if was != value => out.push(format!("{key}: `{was}` becomes `{value}`")),
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|k| !new.contains_key(*k));
    out.extend(removed.map(|key| format!("{key}: removed")));
    out
}

/// Maps `[section] key` to its value. Leaves out the `[fleet]` section, which differs in every
/// document.
fn key_values(text: &str) -> IndexMap<String, String> {
    let mut findings = Findings::new("");
    let mut map = IndexMap::new();
    for s in ini::parse(text, &mut findings).iter().filter(|s| s.kind != "fleet") {
        for (key, value) in &s.pairs {
            map.insert(format!("[{}] {key}", s.title()), value.text.clone());
        }
    }
    map
}
