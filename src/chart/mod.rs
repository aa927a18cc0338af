//! State machines, declared by the files in `charts/`: parsing, validation, diagrams and execution.

mod draw;
mod machine;

pub use draw::mermaid;
pub use machine::{Chart, InvalidTransition, Machine, load};

/// Names and file contents of all charts in `charts/`.
pub const FILES: [(&str, &str); 5] = [
    ("request", include_str!("../../charts/request.toml")),
    ("rollout", include_str!("../../charts/rollout.toml")),
    ("server", include_str!("../../charts/server.toml")),
    ("session", include_str!("../../charts/session.toml")),
    ("vm", include_str!("../../charts/vm.toml")),
];

/// Returns the chart of a name from [`FILES`].
///
/// # Panics
/// If there is no such chart or a file is invalid; a test loads each of them.
pub fn named(name: &str) -> std::sync::Arc<Chart> {
    use std::sync::{Arc, OnceLock};
    static LOADED: OnceLock<Vec<Arc<Chart>>> = OnceLock::new();
    let charts = LOADED.get_or_init(|| {
        let parse = |(_, text): &(&str, &str)| Arc::new(load(text).expect("all charts are valid"));
        FILES.iter().map(parse).collect()
    });
    let found = charts.iter().find(|chart| chart.name == name);
    found.expect("the chart is in `FILES`").clone()
}
