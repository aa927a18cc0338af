//! A fleet of VMs in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::Rng;
use rand::rngs::SmallRng;

use super::news::whole_news;
use super::node::{DATA_CENTRES, Node, Role};

use crate::decide::reader::{
    FAST_POLL_INTERVAL, FIRST_POLL_TIMEOUT, FollowerState, GroupPosition, POLL_INTERVAL,
    POLL_TIMEOUT, Rank, STARTUP_WAIT, STORE_LOSS_CONFIRMED_AFTER, may_accept_update, poll_timeout,
    should_read_store,
};
use crate::unit::{Moment, Span, Vm as Name};

/// Time that a leaving server may still get work, on that site.
const LEAVE_WITHIN: Span = Span::secs(4);

/// Times of a run: the store is away, the reader falls, all die and start again, the end.
pub const AWAY: Span = Span::secs(20);
pub const BACK: Span = Span::secs(28);
pub const FALLS: Span = Span::secs(40);
pub const DIES: Span = Span::secs(50);
pub const AGAIN: Span = Span::secs(51);
pub const END: Span = Span::secs(60);

/// All start within this.
const APART: Span = Span::millis(300);

/// A question between data centres and back.
const QUESTION: Span = Span::millis(4);

/// Calls of a VM that reads: servers every 1.2 s, proofs every 1.66 s, roll-outs every 2 s, two more every 6 s.
const CALL_EVERY: Span = Span::millis(440);

/// Calls as it begins to read, and a try while the store is away: a mean pause of many.
const CALLS_TO_BEGIN: f64 = 4.0;
const TRY_EVERY: Span = Span::millis(450);

/// Price of a try: a read that may be old.
const TRY: f64 = 0.1;

/// A start: the key and the names, which may be old; and the first time the key and the entry are written.
const A_START: f64 = 0.2;
const A_FIRST_START: f64 = 2.2;

/// The same in the way before: key, entry, names, four lists, and a watch of the names or two.
const A_START_BEFORE: f64 = 9.0;

/// A try in the way before, at the price of a call.
const TRY_BEFORE: f64 = 1.0;

/// Bytes of a question and an answer without changes, their packets and acknowledgements with them.
const QUESTION_BYTES: u64 = 420;

/// Which way is played.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    /// That of the server.
    Passed,
    /// A VM without news reads for itself.
    Itself,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Look(usize, u32),
    Call(usize, u32),
    Dies(usize),
}

pub struct World {
    way: Way,
    /// The VMs.
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Moment, Event)>>,
    now: Moment,
    calls: Vec<(Moment, f64)>,
    /// When VMs began to read for themselves.
    pub reads: Vec<(Moment, usize)>,
    index: HashMap<Name, usize>,
    whole: u64,
}

impl World {
    /// All VMs of a fleet before their start.
    pub fn new(way: Way, vms: usize, rng: &mut SmallRng) -> World {
        let nodes: Vec<Node> = (0..vms).map(Node::new).collect();
        let index = nodes.iter().enumerate().map(|(at, node)| (node.rank.vm.clone(), at));
        let index = index.collect();
        let (queue, whole) = (BinaryHeap::new(), whole_news(vms));
        let now = Moment(0);
        let (calls, reads) = (Vec::new(), Vec::new());
        let mut world = World { way, nodes, queue, now, calls, reads, index, whole };
        for at in 0..vms {
            let apart = |rng: &mut SmallRng| Span(rng.random_range(0..APART.0));
            world.push(Moment(0) + apart(rng), Event::Start(at));
            world.push(Moment(0) + DIES, Event::Dies(at));
            world.push(Moment(0) + AGAIN + apart(rng), Event::Start(at));
        }
        world
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn is_away(&self) -> bool {
        (Moment(0) + AWAY..Moment(0) + BACK).contains(&self.now)
    }

    fn call(&mut self, price: f64) {
        self.calls.push((self.now, price));
    }

    /// Plays the run.
    pub fn run(&mut self) {
        let mut fallen = false;
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > Moment(0) + END {
                return;
            }
            self.now = at;
            if !fallen && at >= Moment(0) + FALLS {
                fallen = true;
                let reader = self.nodes.iter().position(|node| node.role == Role::Reads);
                reader.into_iter().for_each(|reader| self.die(reader));
            }
            match event {
                Event::Start(at) => self.start(at),
                Event::Dies(at) => self.die(at),
                Event::Look(at, life) if self.is_alive(at, life) => self.look(at),
                Event::Call(at, life) if self.is_alive(at, life) => self.read(at),
                Event::Look(..) | Event::Call(..) => {}
            }
        }
    }

    fn is_alive(&self, at: usize, life: u32) -> bool {
        self.nodes[at].up && self.nodes[at].life == life
    }

    fn die(&mut self, at: usize) {
        let fresh = Node::new(at);
        let node = &mut self.nodes[at];
        let (life, bytes) = (node.life + 1, node.bytes);
        *node = Node { life, bytes, ..fresh };
    }

    fn start(&mut self, at: usize) {
        let first = self.now < Moment(0) + DIES;
        let price = match (self.way, first) {
            (Way::Itself, _) => A_START_BEFORE,
            (Way::Passed, true) => A_FIRST_START,
            (Way::Passed, false) => A_START,
        };
        self.call(price);
        let node = &mut self.nodes[at];
        (node.up, node.began) = (true, self.now);
        if self.way == Way::Itself {
            // It has listed all, and looks for a reader after that.
            (node.known, node.ready) = (Some(self.now), Some(self.now));
        }
        self.push(self.now + QUESTION, Event::Look(at, self.nodes[at].life));
    }

    /// What a VM that reads does: a call, or a try while the store is away.
    fn read(&mut self, at: usize) {
        let life = self.nodes[at].life;
        if self.nodes[at].role != Role::Reads {
            return;
        }
        let away = self.is_away();
        let price = match (away, self.way) {
            (false, _) => 1.0,
            (true, Way::Passed) => TRY,
            (true, Way::Itself) => TRY_BEFORE,
        };
        self.call(price);
        let now = self.now;
        let node = &mut self.nodes[at];
        if !away {
            node.known = Some(now);
            node.ready = node.ready.or(Some(now));
            if std::mem::take(&mut node.lost) {
                node.back = node.back.or(Some(now));
            }
        }
        node.lost = away;
        let pause = if away { TRY_EVERY } else { CALL_EVERY };
        self.push(now + pause, Event::Call(at, life));
    }

    fn group(&self, at: usize) -> impl Iterator<Item = &Rank> {
        let own = at % DATA_CENTRES;
        let of_group = move |other: &usize| other % DATA_CENTRES == own && *other != at;
        (0..self.nodes.len()).filter(of_group).map(|other| &self.nodes[other].rank)
    }

    /// The first of each other data centre.
    fn firsts(&self, at: usize) -> Vec<&Rank> {
        let others = (0..DATA_CENTRES).filter(|other| *other != at % DATA_CENTRES);
        let of = |other: usize| (other..self.nodes.len()).step_by(DATA_CENTRES);
        let asked = &self.nodes[at].asked;
        let first =
            |other| asked.first_responsive(of(other).map(|one| &self.nodes[one].rank), self.now);
        others.filter_map(first).collect()
    }

    fn place(&self, at: usize) -> GroupPosition {
        let node = &self.nodes[at];
        node.asked.group_position(&node.rank, self.group(at), self.now)
    }

    fn next(&self, at: usize) -> Option<usize> {
        let node = &self.nodes[at];
        let next = match (self.place(at), self.way) {
            (GroupPosition::First, Way::Itself) => None,
            (GroupPosition::First, Way::Passed) if node.lost => {
                node.asked.any_source(self.firsts(at).into_iter(), self.now)
            }
            (GroupPosition::First, Way::Passed) => {
                node.asked.next_source(&node.rank, self.firsts(at).into_iter(), self.now)
            }
            (GroupPosition::Next | GroupPosition::Behind, _) => {
                node.asked.next_source(&node.rank, self.group(at), self.now)
            }
        };
        next.map(|name| self.index[name])
    }

    fn look(&mut self, at: usize) {
        let followed = match self.nodes[at].role {
            Role::Follows(other) => Some(other),
            Role::Joins | Role::Reads => None,
        };
        let next = self.next(at).filter(|next| Some(*next) != followed);
        let asked: Vec<usize> = next.into_iter().chain(followed).collect();
        let answered = asked.iter().all(|other| self.nodes[*other].up);
        let told: Vec<Option<bool>> = asked.iter().map(|other| self.ask(at, *other)).collect();
        let has_news = told.contains(&Some(true));
        let settled = has_news || self.go_without(at, told.contains(&Some(false)));
        let waited = match (answered, self.nodes[at].known) {
            (true, _) => QUESTION,
            (false, None) => FIRST_POLL_TIMEOUT,
            (false, Some(_)) => POLL_TIMEOUT,
        };
        let pause = if settled { POLL_INTERVAL } else { FAST_POLL_INTERVAL };
        let life = self.nodes[at].life;
        self.push(self.now + waited + pause, Event::Look(at, life));
    }

    /// Asks a VM. Whether it had news; false if it said that the store is lost.
    fn ask(&mut self, at: usize, other: usize) -> Option<bool> {
        let now = self.now;
        let name = self.nodes[other].rank.vm.clone();
        if !self.nodes[other].up {
            let new = self.nodes[at].known.is_none();
            let asked = &mut self.nodes[at].asked;
            if new {
                asked.on_startup_timeout(&name, now)
            } else {
                asked.on_timeout(&name, now)
            }
            return None;
        }
        let teller = &self.nodes[other];
        let (known, lost, life) = (teller.known, teller.lost, teller.life);
        let (reader, hops) = if teller.role == Role::Reads { (other, 0) } else { teller.origin };
        let reads_itself = teller.role == Role::Reads || self.way == Way::Passed;
        let reader_name = self.nodes[reader].rank.vm.clone();
        let node = &mut self.nodes[at];
        let Some(known) = known.filter(|_| reads_itself) else {
            node.asked.on_not_ready(&name, now);
            return None;
        };
        if !may_accept_update(&reader_name, hops, &node.rank.vm)
            || (lost && node.role == Role::Reads)
        {
            node.asked.on_declined(&name, now);
            return None;
        }
        if lost && self.way == Way::Itself {
            node.asked.on_declined(&name, now);
            return None;
        }
        let whole = node.whole_from.insert(other, life) != Some(life);
        let bytes = QUESTION_BYTES + if whole { self.whole } else { 0 };
        node.known = node.known.max(Some(known));
        node.origin = (reader, hops + 1);
        if lost {
            node.asked.on_store_lost(&name, now);
            node.lost_since = node.lost_since.or(Some(now));
            node.lost = true;
        } else {
            node.asked.on_update(&name);
            node.role = Role::Follows(other);
            node.lost_since = None;
            node.ready = node.ready.or(Some(now + QUESTION));
            if std::mem::take(&mut node.lost) {
                node.back = node.back.or(Some(now + QUESTION));
            }
        }
        node.bytes += bytes;
        self.nodes[other].bytes += bytes;
        Some(!lost)
    }

    /// What a VM without news does. Whether it has what it needs for now.
    fn go_without(&mut self, at: usize, is_told: bool) -> bool {
        let node = &self.nodes[at];
        if node.role == Role::Reads {
            return true;
        }
        let without = FollowerState {
            group_position: self.place(at),
            has_other_groups: self.way == Way::Passed,
            has_source: self.next(at).is_some(),
            is_store_lost: node.asked.is_store_reported_lost(&node.rank, self.group(at), self.now),
            has_snapshot: node.known.is_some(),
            is_starting: self.now.since(node.began) < STARTUP_WAIT,
            is_overdue: poll_timeout(node.known, LEAVE_WITHIN, self.now).is_none(),
        };
        let itself = match self.way {
            Way::Passed => should_read_store(&without),
            Way::Itself => !without.has_source,
        };
        if itself {
            self.begin_to_read(at, without.is_store_lost);
            return true;
        }
        let since = self.nodes[at].lost_since;
        is_told && since.is_some_and(|since| self.now.since(since) >= STORE_LOSS_CONFIRMED_AFTER)
    }

    fn begin_to_read(&mut self, at: usize, told_lost: bool) {
        self.reads.push((self.now, at));
        if !told_lost {
            self.call(CALLS_TO_BEGIN);
        }
        let node = &mut self.nodes[at];
        node.role = Role::Reads;
        let life = node.life;
        self.push(self.now, Event::Call(at, life));
    }

    /// Price of the calls between two times of the run.
    pub fn price(&self, from: Span, to: Span) -> f64 {
        let (from, to) = (Moment(0) + from, Moment(0) + to);
        let within = self.calls.iter().filter(|(at, _)| (from..to).contains(at));
        within.map(|(_, price)| price).sum()
    }
}
