//! Relays connections to backend servers for VMs that can't reach them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::decide::availability::Unavailable;
use crate::decide::tunnel::Relaying;
use crate::forward::Vm;
use crate::forward::connection::connect;
use crate::forward::peer::{self, Message};
use crate::peer::tunnel::{Answer, Destination, Tunnel};
use crate::unit::{Service, Span, Vm as Name};

/// Timeout of a connection to a server; the servers are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time within which the destination of a tunnel must arrive.
const DESTINATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a stall in which this VM offers to relay only what no other VM would: it lacks processor
/// time for its own callers.
const STALL_PAUSE: Span = Span::secs(1);

/// Counts a tunnel as relayed until it is dropped.
struct OpenTunnel(Rc<Vm>);

impl OpenTunnel {
    fn new(vm: &Rc<Vm>) -> OpenTunnel {
        vm.tunnels_relayed.set(vm.tunnels_relayed.get() + 1);
        OpenTunnel(vm.clone())
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.tunnels_relayed.set(self.0.tunnels_relayed.get().saturating_sub(1));
    }
}

/// Returns what decides if this VM relays.
fn relaying(vm: &Vm) -> Relaying {
    let now = vm.now();
    Relaying {
        open: vm.tunnels_relayed.get(),
        is_stalled: vm.stalled_at.get().is_some_and(|at| now.since(at) < STALL_PAUSE),
        is_unavailable: vm.is_stopping() || !vm.has_required_state(),
    }
}

/// Offers another VM to relay to those of the services whose servers this one reaches itself.
pub fn on_request(vm: &Rc<Vm>, from: &Name, address: SocketAddr, mut services: Vec<Service>) {
    let relaying = relaying(vm);
    if !relaying.accepts() {
        return;
    }
    {
        let links = vm.connectivity.borrow();
        let fleet = vm.fleet.borrow();
        services.retain(|service| {
            let is_lost = links.get(service).is_some_and(|links| links.has_failed_check());
            !is_lost && fleet.of_service(service).next().is_some()
        });
    }
    if services.is_empty() {
        return;
    }
    vm.tunnel_users.borrow_mut().insert(from.clone(), address);
    let open = relaying.reported_load();
    peer::send(vm, address, Message::TunnelOffer { services, open });
}

/// Withdraws all offers: this VM stops.
pub fn withdraw(vm: &Rc<Vm>) {
    for (_, address) in vm.tunnel_users.borrow_mut().drain() {
        let message = Message::TunnelOffer { services: Vec::new(), open: 0 };
        peer::send(vm, address, message);
    }
}

/// Relays a tunnel that another VM opened until either end closes it.
pub async fn relay(vm: Rc<Vm>, mut tunnel: Tunnel) {
    let destination = tokio::time::timeout(DESTINATION_TIMEOUT, tunnel.read_destination()).await;
    let Ok(Ok(destination)) = destination else { return };
    let _open = OpenTunnel::new(&vm);
    let connected = match admits(&vm, &destination) {
        true => connect_to(&vm, &destination).await,
        false => Err(Answer::Declined),
    };
    let answer = connected.as_ref().err().copied().unwrap_or(Answer::Connected);
    vm.metrics.tunnels.with_label_values(&["relayed", &format!("{answer:?}")]).inc();
    let started = vm.now();
    if tunnel.answer(answer).await.is_err() {
        return;
    }
    let relayed = match connected {
        Ok(stream) => {
            let (reader, writer) = stream.into_split();
            tunnel.relay(reader, writer).await
        }
        Err(_) => 0,
    };
    let answer = format!("{answer:?}");
    let fields = [
        ("peer", destination.from.as_str().into()),
        ("server", destination.server.as_str().into()),
        ("answer", answer.as_str().into()),
        ("bytes", relayed.into()),
        ("open_ms", vm.now().since(started).as_millis().into()),
    ];
    vm.log("tunnel closed", &fields);
}

/// Returns true if this VM relays to the destination, which must be a server that it knows and that
/// is not about to leave.
fn admits(vm: &Vm, destination: &Destination) -> bool {
    let fleet = vm.fleet.borrow();
    let Some(server) = fleet.get(&destination.server) else { return false };
    let is_known = server.replica.started_at_ms == destination.started_at_ms
        && server.replica.address == destination.address;
    let reason = fleet.server_unavailable_reason(server, vm.now());
    let leaves = matches!(
        reason,
        Some(Unavailable::Draining(_) | Unavailable::Removed | Unavailable::Evacuated)
    );
    is_known && !leaves && !server.path.is_lost() && relaying(vm).accepts()
}

async fn connect_to(vm: &Vm, destination: &Destination) -> Result<tokio::net::TcpStream, Answer> {
    let connecting = connect(vm.settings.source, destination.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream.set_nodelay(true).map(|()| stream).map_err(|_| Answer::Declined),
        Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(Answer::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(Answer::Unreachable),
    }
}
