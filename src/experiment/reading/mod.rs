//! The control path at many VMs: calls to the platform's store and bytes between VMs, the server's decisions in virtual
//! time.
//!
//! A run has a start of all, a calm time, a store that is away for eight seconds, the fall of the VM that reads, and the
//! death and start of all. Beside the way of the server runs the one before it, in which a VM without news reads for
//! itself at once. Both are worked out from times of calls and questions; packets are counted, not sent.

mod news;
mod node;
mod world;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::unit::{Moment, Span};
use node::Node;
use world::{AGAIN, AWAY, BACK, DIES, END, FALLS, Way, World};

/// The calm time that is counted.
const CALM: Span = Span::secs(10);

fn row(way: Way, vms: usize, seed: u64) -> Row {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(way, vms, &mut rng);
    world.run();
    let each = |price: f64| price / vms as f64;
    let calm = world.price(Span(AWAY.0 - CALM.0), AWAY);
    let away = world.price(AWAY, BACK);
    let returned = world.price(BACK, Span(BACK.0 + CALM.0));
    let fallen = Moment(0) + FALLS..Moment(0) + DIES;
    let fall = world.reads.iter().filter(|(at, _)| fallen.contains(at)).count();
    let known = |node: &Node| node.ready.map(|at| at.since(node.began).as_millis());
    let mut ready: Vec<f64> = world.nodes.iter().filter_map(known).collect();
    let seconds = END.as_secs();
    let largest = world.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
    let mean = world.nodes.iter().map(|node| node.bytes).sum::<u64>() as f64 / vms as f64;
    Row::named("way", if way == Way::Passed { "passed on" } else { "each itself" })
        .with("vms", vms)
        .number("start, calls a VM", each(world.price(Span(0), Span::secs(5))), 2)
        .number("calm, calls/s", calm / CALM.as_secs(), 2)
        .number("away 8 s, calls", away, 0)
        .number("return 10 s, calls", returned, 0)
        .with("fall, VMs that read", fall)
        .number("again, calls a VM", each(world.price(AGAIN, END)), 2)
        .number("ready after p99 ms", quantile(&mut ready, 0.99), 0)
        .number("bytes/s a VM", mean / seconds, 0)
        .number("bytes/s largest", largest as f64 / seconds, 0)
}

/// Numbers of VMs that are played if none are given.
const VMS: [usize; 5] = [10, 23, 60, 300, 1000];

/// Runs it.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { VMS.to_vec() } else { options.vms.clone() };
    let ways = [Way::Passed, Way::Itself];
    let rows = vms.iter().flat_map(|vms| ways.map(|way| row(way, *vms, options.seed)));
    let rows: Vec<Row> = rows.collect();
    let notes = vec![
        "Calls by their price: a read that may be some seconds old costs a tenth.".to_owned(),
        "Bytes are those that a VM sends and hears for control, over the whole run.".to_owned(),
    ];
    Table { rows, notes }
}
