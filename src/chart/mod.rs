//! State charts: read from the files in `charts/`, checked, drawn and interpreted.

mod draw;
mod machine;

pub use draw::mermaid;
pub use machine::{Chart, InvalidTransition, Machine, load};

/// The charts of the tree, by name, as their files' text.
pub const FILES: [(&str, &str); 5] = [
    ("request", include_str!("../../charts/request.toml")),
    ("rollout", include_str!("../../charts/rollout.toml")),
    ("server", include_str!("../../charts/server.toml")),
    ("session", include_str!("../../charts/session.toml")),
    ("vm", include_str!("../../charts/vm.toml")),
];

/// The chart of that name.
///
/// # Panics
/// If the tree has no such chart or its file is faulty; a test loads each of them.
pub fn named(name: &str) -> std::sync::Arc<Chart> {
    use std::sync::{Arc, OnceLock};
    static LOADED: OnceLock<Vec<Arc<Chart>>> = OnceLock::new();
    let charts = LOADED.get_or_init(|| {
        let read = |(_, text): &(&str, &str)| Arc::new(load(text).expect("a checked chart"));
        FILES.iter().map(read).collect()
    });
    let found = charts.iter().find(|chart| chart.name == name);
    found.expect("a chart of the tree").clone()
}
