//! Looks at backend servers.

use std::time::Duration;

use crate::unit::Server;
use crate::vm::control::Control;

/// Servers that are looked at in one round at most.
const MAX_PROBES: usize = 32;

/// Time between two rounds of looks at servers.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Asks one server for its load.
pub async fn probe_server(control: &Control, server: &Server) {
    let address = control.vm.fleet.lock().expect("no panic while held").address(server);
    let Some(address) = address else { return };
    let load = control.engines.load(address).await;
    let now = control.vm.clock.now();
    let mut fleet = control.vm.fleet.lock().expect("no panic while held");
    match load {
        Some(load) => fleet.on_load_report(server, load, now),
        None => fleet.on_failure(server, now),
    }
}

/// Servers that a VM looks at in one round, of so many.
///
/// With few servers it is all of them. With many it is fewer and fewer: load is told with each
/// answer and each refusal too, and looking must not grow with servers times VMs.
fn probes_per_round(servers: usize) -> usize {
    (MAX_PROBES * MAX_PROBES / servers.max(1)).clamp(1, MAX_PROBES)
}

/// Asks servers for their load in turn, again and again.
pub async fn probe_servers(control: Control) {
    let mut offset = 0;
    loop {
        let snapshot = control.vm.config();
        let engines = snapshot.declared.servers.iter();
        let engines = engines.filter(|s| s.kind == crate::config::ServerKind::Engine);
        let names: Vec<Server> = engines.map(|server| server.name.clone()).collect();
        let round = probes_per_round(names.len()).min(names.len());
        let chosen = names.iter().cycle().skip(offset % names.len().max(1)).take(round);
        futures_util::future::join_all(chosen.map(|name| probe_server(&control, name))).await;
        offset = offset.wrapping_add(round);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests {
    use super::probes_per_round;

    #[test]
    fn looks_do_not_grow_with_the_servers() {
        assert_eq!((probes_per_round(0), probes_per_round(14), probes_per_round(32)), (32, 32, 32));
        assert_eq!((probes_per_round(64), probes_per_round(600)), (16, 1));
    }
}
