//! Decisions on which clients may take memory and connections, and which are closed.

use kitepulley::decide::clients::{CONNECTION_COST, Clients, Eviction, Id, Limits, Stage};
use kitepulley::unit::{Moment, Size, Span};
use quickcheck::quickcheck;

const MEMORY: Size = Size(10_000_000);

fn clients(connections: usize) -> Clients {
    Clients::new(Limits { memory: MEMORY, connections })
}

fn connect(clients: &mut Clients, now: Moment) -> Id {
    clients.connect(now).expect("there is room").0
}

/// Connects a client that sends a body and holds this much.
fn sender(clients: &mut Clients, held: u64, now: Moment) -> Id {
    let id = connect(clients, now);
    clients.set_stage(id, Stage::Sending);
    assert_eq!(clients.hold(id, Size(held), now), Ok(Vec::new()));
    id
}

fn ids(evictions: &[Eviction]) -> Vec<Id> {
    evictions.iter().map(|eviction| eviction.id).collect()
}

fn later(ms: u64) -> Moment {
    Moment(1_000_000) + Span::millis(ms)
}

#[test]
fn one_client_alone_gets_half_of_the_memory() {
    let mut clients = clients(10);
    let id = connect(&mut clients, later(0));
    assert!(clients.hold(id, Size(5_000_000), later(0)).is_ok());
    assert!(clients.hold(id, Size(5_000_001), later(0)).is_err(), "as much is left for others");
    assert_eq!(clients.used(), Size(5_000_000));
}

#[test]
fn a_client_that_stalls_gives_way_to_one_that_moves() {
    let mut clients = clients(10);
    let stalled = sender(&mut clients, 5_000_000, later(0));
    let moving = sender(&mut clients, 2_000_000, later(0));
    clients.on_progress(moving, later(1000));
    let id = connect(&mut clients, later(1000));
    let evictions = clients.hold(id, Size(2_000_000), later(1000)).expect("there is room");
    assert_eq!(ids(&evictions), [stalled]);
    assert_eq!(evictions[0].stalled, Span::millis(1000));
    // Neither of the two that move gives way to a large one.
    assert!(clients.hold(id, Size(4_100_000), later(1000)).is_err());
}

#[test]
fn an_ordinary_client_finds_room_beside_any_number_of_large_ones() {
    let mut clients = clients(1000);
    let now = later(0);
    let mut large = Vec::new();
    for size in [4_000_000, 2_000_000, 1_000_000, 800_000, 500_000, 400_000, 300_000, 200_000] {
        large.extend(clients.connect(now).map(|(id, _)| id));
        let id = *large.last().unwrap();
        clients.set_stage(id, Stage::Sending);
        let _ = clients.hold(id, Size(size), now);
    }
    for _ in 0..100 {
        let (id, _) = clients.connect(now).expect("there is room for a connection");
        assert!(clients.hold(id, Size(60_000), now).is_ok());
        clients.set_stage(id, Stage::Running);
        assert!(clients.used() <= MEMORY);
    }
}

#[test]
fn a_request_that_runs_is_never_closed() {
    let mut clients = clients(2);
    let (first, second) = (connect(&mut clients, later(0)), connect(&mut clients, later(0)));
    clients.set_stage(first, Stage::Running);
    clients.set_stage(second, Stage::Running);
    assert!(clients.connect(later(10_000)).is_err());
    clients.set_stage(second, Stage::Waiting);
    let (_, evictions) = clients.connect(later(10_000)).expect("there is room");
    assert_eq!(ids(&evictions), [second]);
}

#[test]
fn of_connections_that_wait_the_idlest_is_closed_first() {
    let mut clients = clients(3);
    let all: Vec<Id> = (0..3).map(|n| connect(&mut clients, later(n))).collect();
    clients.on_progress(all[0], later(500));
    let (_, evictions) = clients.connect(later(1000)).expect("there is room");
    assert_eq!(ids(&evictions), [all[1]]);
    assert_eq!(clients.open(), 3);
}

#[test]
fn what_is_taken_already_closes_others_until_the_limit_holds() {
    let mut clients = clients(10);
    let slow = connect(&mut clients, later(0));
    clients.set_stage(slow, Stage::Receiving);
    assert!(clients.record_held(slow, Size(8_000_000), later(0)).is_empty());
    let other = connect(&mut clients, later(1000));
    clients.set_stage(other, Stage::Receiving);
    let evictions = clients.record_held(other, Size(4_000_000), later(1000));
    assert_eq!(ids(&evictions), [slow]);
    assert_eq!(clients.used(), Size(4_000_000));
}

#[test]
fn a_client_that_is_closed_and_told_so_counts_again() {
    let mut clients = clients(10);
    let id = sender(&mut clients, 5_000_000, later(0));
    let other = connect(&mut clients, later(1000));
    assert_eq!(ids(&clients.hold(other, Size(4_900_000), later(1000)).unwrap()), [id]);
    assert!(clients.hold(id, Size(6_000_000), later(1000)).is_err(), "it was closed");
    assert!(clients.readmit(id, Size(50_000), later(1000)).is_empty());
    assert_eq!((clients.used(), clients.open()), (Size(4_950_000), 2));
    clients.remove(id);
    clients.remove(other);
    assert_eq!((clients.used(), clients.open()), (Size(0), 0));
}

quickcheck! {
    /// What clients hold never exceeds the limit, and the sums are those of the clients.
    fn the_sum_is_never_above_the_limit(steps: Vec<(u8, u8, u32)>) -> bool {
        let mut clients = clients(20);
        let mut known: Vec<Id> = Vec::new();
        let mut now = later(0);
        for (action, which, size) in steps {
            now = now + Span::millis(u64::from(size % 400));
            let id = known.get(usize::from(which) % known.len().max(1)).copied();
            match (action % 6, id) {
                (0 | 1, _) => {
                    if let Ok((id, evictions)) = clients.connect(now) {
                        known.retain(|known| !ids(&evictions).contains(known));
                        known.push(id);
                    }
                }
                (2 | 3, Some(id)) => {
                    let size = Size(CONNECTION_COST.0 + u64::from(size % 6_000_000));
                    if let Ok(evictions) = clients.hold(id, size, now) {
                        known.retain(|known| !ids(&evictions).contains(known));
                    }
                }
                (4, Some(id)) => {
                    let stages = [Stage::Waiting, Stage::Sending, Stage::Running, Stage::Receiving];
                    clients.set_stage(id, stages[size as usize % 4]);
                    clients.on_progress(id, now);
                }
                (5, Some(id)) => {
                    clients.remove(id);
                    known.retain(|known| *known != id);
                }
                _ => {}
            }
            if clients.used() > MEMORY || clients.open() != known.len() || clients.open() > 20 {
                return false;
            }
        }
        known.iter().for_each(|id| clients.remove(*id));
        clients.used() == Size(0) && clients.open() == 0
    }
}
