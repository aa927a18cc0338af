//! Looks at backend servers.

use std::time::Duration;

use crate::unit::Server;
use crate::vm::control::Control;

/// Servers that are looked at in one round at most.
const LOOKS: usize = 32;

/// Time between two rounds of looks at servers.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Asks one server for its load.
pub async fn look(control: &Control, server: &Server) {
    let address = control.vm.fleet.lock().expect("no panic while held").address(server);
    let Some(address) = address else { return };
    let load = control.engines.load(address).await;
    let now = control.vm.clock.now();
    let mut fleet = control.vm.fleet.lock().expect("no panic while held");
    match load {
        Some(load) => fleet.report(server, load, now),
        None => fleet.failed(server, now),
    }
}

/// Servers that a VM looks at in one round, of so many.
///
/// With few servers it is all of them. With many it is fewer and fewer: load is told with each
/// answer and each refusal too, and looking must not grow with servers times VMs.
fn looks(servers: usize) -> usize {
    (LOOKS * LOOKS / servers.max(1)).clamp(1, LOOKS)
}

/// Asks servers for their load in turn, again and again.
pub async fn look_in_turn(control: Control) {
    let mut turn = 0;
    loop {
        let snapshot = control.vm.config();
        let engines = snapshot.declared.servers.iter();
        let engines = engines.filter(|s| s.kind == crate::config::ServerKind::Engine);
        let names: Vec<Server> = engines.map(|server| server.name.clone()).collect();
        let round = looks(names.len()).min(names.len());
        let chosen = names.iter().cycle().skip(turn % names.len().max(1)).take(round);
        futures_util::future::join_all(chosen.map(|name| look(&control, name))).await;
        turn = turn.wrapping_add(round);
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

#[cfg(test)]
mod tests {
    use super::looks;

    #[test]
    fn looks_do_not_grow_with_the_servers() {
        assert_eq!((looks(0), looks(14), looks(32)), (32, 32, 32));
        assert_eq!((looks(64), looks(600)), (16, 1));
    }
}
