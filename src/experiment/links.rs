//! VMs that have lost their links to all backend servers: ways to serve their callers, in virtual
//! time.
//!
//! From the start, a part of the VMs reaches no server, and another part is dead or answers late.
//! Requests come to all VMs that are alive alike. A refused caller comes back once, to a VM drawn
//! anew among those that are ready. Helpers are chosen by [`crate::decide::tunnel`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table};
use crate::decide::tunnel::{Helpers, Offer};
use crate::unit::{Moment, Service, Span, Vm};

/// Fleet sizes by default: those of the users' sites.
const DEFAULT_VMS: [usize; 4] = [7, 23, 84, 295];

/// Parts of the VMs that have lost their links.
const LOST_SHARES: [f64; 3] = [0.4, 0.8, 0.95];

/// Part of the VMs that are dead, or answer late, in the cases with such VMs.
const FAULTY_SHARE: f64 = 0.1;

/// Delay of an answer, and of one that is late.
const ANSWER_DELAY: Span = Span::millis(3);
const LATE_DELAY: Span = Span::millis(700);

/// Duration of a run; requests count from [`COUNTED_FROM`] on.
const RUN_LENGTH: Span = Span::secs(8);
const COUNTED_FROM: Span = Span::secs(3);

/// Time between two requests at a VM, and mean time that a request takes.
const REQUEST_INTERVAL: Span = Span::millis(50);
const MEAN_SERVICE: f64 = 0.3;

/// VMs that one request for offers goes to, and in which all send to all.
const SAMPLE: usize = 12;

/// Size of a message between VMs, with the overhead of its packet.
const MESSAGE_BYTES: f64 = 160.0;

/// Data centres that the VMs are spread over.
const DATA_CENTRES: usize = 4;

/// How the callers of a VM without links are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Their requests are refused, and the VM stays ready.
    Refuse,
    /// Their requests are refused, and the VM is not ready.
    Unready,
    /// A VM drawn by lot relays each request.
    AnyVm,
    /// One VM, chosen by rendezvous hash among those that are listed, relays all requests.
    FixedHelper,
    /// A VM that offered to lately relays each request: the strategy of the router.
    Offers,
}

impl Strategy {
    const ALL: [Strategy; 5] = [
        Strategy::Refuse,
        Strategy::Unready,
        Strategy::AnyVm,
        Strategy::FixedHelper,
        Strategy::Offers,
    ];

    fn name(self) -> &'static str {
        match self {
            Strategy::Refuse => "refuse",
            Strategy::Unready => "unready",
            Strategy::AnyVm => "any VM",
            Strategy::FixedHelper => "fixed helper",
            Strategy::Offers => "offers",
        }
    }
}

/// State of the VMs that have neither lost their links nor work well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faulty {
    None,
    Dead,
    Late,
}

impl Faulty {
    const ALL: [Faulty; 3] = [Faulty::None, Faulty::Dead, Faulty::Late];

    fn name(self) -> &'static str {
        match self {
            Faulty::None => "none",
            Faulty::Dead => "dead",
            Faulty::Late => "late",
        }
    }
}

/// One VM of the simulation.
struct Node {
    name: Vm,
    is_linked: bool,
    is_faulty: bool,
    helpers: Helpers,
    /// Requests that it relays, now and at most.
    relayed: u32,
    most_relayed: u32,
}

#[derive(Default)]
struct Counts {
    first: u64,
    served_first: u64,
    served: u64,
    remote: u64,
    relayed: u64,
    messages: u64,
}

struct Simulation {
    nodes: Vec<Node>,
    strategy: Strategy,
    faulty: Faulty,
    service: Service,
    rng: SmallRng,
    /// Ends of the requests that are relayed, with the helper.
    ends: BinaryHeap<Reverse<(Moment, usize)>>,
    /// Offers under way: when each arrives, at whom, from whom, with the tunnels open there.
    offers: Vec<(Moment, usize, usize, u32)>,
    counts: Counts,
}

impl Simulation {
    fn new(vms: usize, lost: f64, strategy: Strategy, faulty: Faulty, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let lost = ((vms as f64 * lost) as usize).clamp(1, vms - 1);
        let linked = (0..vms).choose_multiple(&mut rng, vms - lost);
        let faults = match faulty {
            Faulty::None => 0,
            Faulty::Dead | Faulty::Late => (vms as f64 * FAULTY_SHARE).ceil() as usize,
        };
        let faulty_vms = (0..vms).choose_multiple(&mut rng, faults);
        let node = |at: usize| Node {
            name: format!("vm{at}").parse().expect("a name"),
            is_linked: linked.contains(&at),
            is_faulty: faulty_vms.contains(&at),
            helpers: Helpers::default(),
            relayed: 0,
            most_relayed: 0,
        };
        Simulation {
            nodes: (0..vms).map(node).collect(),
            strategy,
            faulty,
            service: "api".parse().expect("a name"),
            rng,
            ends: BinaryHeap::new(),
            offers: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn is_dead(&self, at: usize) -> bool {
        self.faulty == Faulty::Dead && self.nodes[at].is_faulty
    }

    fn is_late(&self, at: usize) -> bool {
        self.faulty == Faulty::Late && self.nodes[at].is_faulty
    }

    fn run(&mut self) {
        let mut now = Moment(0);
        let step = Span::millis(5);
        let per_step = step.as_secs() / REQUEST_INTERVAL.as_secs();
        while now < Moment(RUN_LENGTH.0) {
            self.end_requests(now);
            self.deliver_offers(now);
            for at in 0..self.nodes.len() {
                if !self.is_dead(at) && self.rng.random_bool(per_step) {
                    self.on_request(at, now);
                }
            }
            now = now + step;
        }
    }

    fn end_requests(&mut self, now: Moment) {
        while let Some(Reverse((at, helper))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            self.nodes[helper].relayed -= 1;
        }
    }

    fn deliver_offers(&mut self, now: Moment) {
        let (due, later) = self.offers.drain(..).partition(|(at, ..)| *at <= now);
        self.offers = later;
        let due: Vec<(Moment, usize, usize, u32)> = due;
        for (at, to, from, open) in due {
            let offer = Offer {
                services: vec![self.service.clone()],
                is_local: to % DATA_CENTRES == from % DATA_CENTRES,
                open,
                at,
            };
            let name = self.nodes[from].name.clone();
            self.nodes[to].helpers.on_offer(name, offer);
        }
    }

    /// Asks a sample of VMs for offers; those that reach servers answer.
    fn ask(&mut self, at: usize, now: Moment) {
        let others = (0..self.nodes.len()).filter(|other| *other != at);
        let asked = others.choose_multiple(&mut self.rng, SAMPLE);
        self.counts.messages += asked.len() as u64;
        for other in asked {
            if self.is_dead(other) || !self.nodes[other].is_linked {
                continue;
            }
            let delay = if self.is_late(other) { LATE_DELAY } else { ANSWER_DELAY };
            self.counts.messages += 1;
            self.offers.push((now + delay, at, other, self.nodes[other].relayed));
        }
    }

    fn on_request(&mut self, at: usize, now: Moment) {
        let is_counted = now >= Moment(COUNTED_FROM.0);
        let is_lost = !self.nodes[at].is_linked;
        if is_counted && is_lost {
            self.counts.first += 1;
        }
        if self.serves(at, now) {
            if is_counted && is_lost {
                self.counts.served_first += 1;
                self.counts.served += 1;
            }
            return;
        }
        let unready = self.strategy == Strategy::Unready;
        let nodes = &self.nodes;
        let is_dead = |at: usize| self.faulty == Faulty::Dead && nodes[at].is_faulty;
        let ready = (0..nodes.len()).filter(|other| {
            *other != at && !is_dead(*other) && (nodes[*other].is_linked || !unready)
        });
        let next = ready.choose(&mut self.rng);
        let is_served = next.is_some_and(|next| self.serves(next, now));
        if is_counted && is_lost && is_served {
            self.counts.served += 1;
        }
    }

    /// Returns true if a request that comes to the VM is served there.
    fn serves(&mut self, at: usize, now: Moment) -> bool {
        if self.nodes[at].is_linked {
            return true;
        }
        let helper = match self.strategy {
            Strategy::Refuse | Strategy::Unready => None,
            Strategy::AnyVm => Some(self.rng.random_range(0..self.nodes.len())),
            Strategy::FixedHelper => self.fixed_helper(at),
            Strategy::Offers => self.offered_helper(at, now),
        };
        // A helper that is late is given up.
        let helper = helper.filter(|helper| {
            self.nodes[*helper].is_linked && !self.is_dead(*helper) && !self.is_late(*helper)
        });
        let Some(helper) = helper else { return false };
        self.counts.relayed += 1;
        self.counts.remote += u64::from(helper % DATA_CENTRES != at % DATA_CENTRES);
        let took = -MEAN_SERVICE * self.rng.random::<f64>().max(1e-9).ln();
        self.ends.push(Reverse((now + Span((took * 1e6) as u64), helper)));
        let helper = &mut self.nodes[helper];
        helper.relayed += 1;
        helper.most_relayed = helper.most_relayed.max(helper.relayed);
        true
    }

    /// Returns the VM with the highest weight for this one, whatever its links.
    fn fixed_helper(&self, at: usize) -> Option<usize> {
        let others = (0..self.nodes.len()).filter(|other| *other != at);
        others.max_by_key(|other| crate::unit::hash::mix(at as u64, *other as u64))
    }

    fn offered_helper(&mut self, at: usize, now: Moment) -> Option<usize> {
        if self.nodes[at].helpers.on_need(now) {
            self.ask(at, now);
        }
        let rng = &mut self.rng;
        let helper = self.nodes[at].helpers.choose(&self.service, now, || rng.random())?;
        let found = self.nodes.iter().position(|node| node.name == helper)?;
        if self.is_dead(found) || self.is_late(found) {
            self.nodes[at].helpers.remove(&helper, now);
            let rng = &mut self.rng;
            let next = self.nodes[at].helpers.choose(&self.service, now, || rng.random())?;
            return self.nodes.iter().position(|node| node.name == next);
        }
        Some(found)
    }

    fn row(&self, vms: usize, lost: f64) -> Row {
        let counts = &self.counts;
        let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
        let helpers = self.nodes.iter().filter(|node| node.is_linked && !node.is_faulty);
        let most: Vec<f64> = helpers.map(|node| f64::from(node.most_relayed)).collect();
        let mean = most.iter().sum::<f64>() / most.len().max(1) as f64;
        let worst = most.iter().copied().fold(0.0, f64::max);
        let asking = self.nodes.iter().filter(|node| !node.is_linked).count().max(1) as f64;
        Row::named("way", self.strategy.name())
            .with("vms", vms)
            .number("without links", lost, 2)
            .with("others", self.faulty.name())
            .number("first", share(counts.served_first, counts.first), 3)
            .number("served", share(counts.served, counts.first), 3)
            .number("remote", share(counts.remote, counts.relayed), 2)
            .number("open at a helper", mean, 1)
            .number("at the busiest", worst, 0)
            .number(
                "bytes/s a VM",
                counts.messages as f64 * MESSAGE_BYTES / asking / RUN_LENGTH.as_secs(),
                0,
            )
    }
}

/// Simulates all strategies for each fleet size, part of VMs without links and kind of fault.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { DEFAULT_VMS.to_vec() } else { options.vms.clone() };
    let mut rows = Vec::new();
    for vms in vms {
        for lost in LOST_SHARES {
            for faulty in Faulty::ALL {
                for strategy in Strategy::ALL {
                    let mut simulation = Simulation::new(vms, lost, strategy, faulty, options.seed);
                    simulation.run();
                    rows.push(simulation.row(vms, lost));
                }
            }
        }
    }
    let notes = vec![
        "First: part of the requests at VMs without links that were served at the first attempt, \
         from 3 s on. Served: with one more attempt at another VM."
            .to_owned(),
        "Remote: part of the relayed requests that another data centre relays. Open: most requests \
         relayed at a time, by a helper in the mean and by the busiest. Bytes: messages sent by a \
         VM without links, and the answers to it."
            .to_owned(),
    ];
    Table { rows, notes }
}
