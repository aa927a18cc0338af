//! Probes the load of backend servers.

use std::time::Duration;

use crate::unit::Server;
use crate::vm::control::Control;

/// Maximum number of servers probed in one round.
const MAX_PROBES: usize = 32;

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Requests the load of one server and records the result; no answer counts as a failure.
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

/// Returns how many of `servers` a VM probes in one round.
///
/// Up to `MAX_PROBES` servers are all probed. With more servers the number falls: responses and
/// refusals report the load too, and the total of probes must not grow with the number of servers
/// times VMs.
fn probes_per_round(servers: usize) -> usize {
    (MAX_PROBES * MAX_PROBES / servers.max(1)).clamp(1, MAX_PROBES)
}

/// Probes the engines round-robin until the process ends.
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
