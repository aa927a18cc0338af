//! VMs, servers that name limits and callers in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use rand::Rng;
use rand::rngs::SmallRng;

use super::{Skew, Way};
use crate::decide::server_limit::{
    KnownLimit, LIMIT_WINDOW, LimitHeader, Pacer, RateLimit, Recipients, Share, Update, is_sender,
    max_senders,
};
use crate::peer::neighbours;
use crate::unit::{Moment, Rate, Span, Vm as Name, hash};

/// A server for so many VMs, and at least this many.
const VMS_A_SERVER: usize = 2;
const FEWEST: usize = 8;

/// Limits that servers name, and how often they name another.
const RATES: std::ops::Range<f64> = 0.5..4.0;
const CHANGES_EVERY: Span = Span::secs(3);

/// Length of a run, and the part of it that counts for what is used: VMs have heard of the limits.
pub const END: Span = Span::secs(20);
const COUNTS_FROM: Span = Span::secs(2);

/// Requests that callers send, in parts of what all servers name.
const DEMAND: f64 = 1.3;

/// Time that a request may wait for its turn.
const GOAL: Span = Span::millis(1500);

/// Callers that are refused come back once, after this.
const COME_BACK: Span = Span::millis(1000);

/// One way between two processes, at most.
const AWAY: Span = Span::millis(2);

/// A server of which no limit is known yet.
const FREE: Share = Share { senders: 1, interval: Span(0) };

/// Bytes of one word between VMs.
const WORD: u64 = 120;

/// Up to this number every VM tells every other.
const ALL: usize = 12;

/// A VM's word binds it from so soon after it was heard.
const HEARD: Span = Span::millis(50);

/// What a run brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests of callers, those that came back not counted anew.
    pub requests: u64,
    /// Requests that reached a server in time.
    pub in_time: u64,
    /// Requests that reached a server, while use is counted.
    pub reached: u64,
    /// Requests that the servers' limits allow meanwhile.
    pub allowed: f64,
    /// The most requests beyond a limit in a window of four seconds, from VMs that had heard of it, and the most in parts of what users allow.
    pub beyond: f64,
    pub of_rule: f64,
    /// Bytes that VMs sent one another.
    pub bytes: u64,
}

struct Request {
    vm: usize,
    since: Moment,
    came_back: bool,
}

enum Event {
    Arrives(Request),
    /// Its turn has come.
    Sends(Request, usize),
    /// It reaches the server, which says its limit.
    Reaches(Request, usize, Moment),
    /// The head of the answer is there.
    Heard(usize, usize, Rate, Moment),
    /// A word of another VM.
    Told(usize, usize, Update),
    /// A server names another limit.
    Changes(usize),
}

#[derive(Clone, Copy, Default)]
struct View {
    limit: KnownLimit,
    turns: Pacer,
    first_heard: Option<Moment>,
}

struct Server {
    rate: Rate,
    /// Limits that it named, with the moment at which each ended, and arrivals from VMs that had heard of them; those of the last window.
    earlier: VecDeque<(Moment, Rate)>,
    arrivals: VecDeque<Moment>,
    /// The dispatcher's turns.
    turns: Pacer,
    number: u64,
}

/// One run.
pub struct World {
    way: Way,
    rng: SmallRng,
    now: Moment,
    number: u64,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    names: Vec<u64>,
    cut: Vec<bool>,
    near: Vec<Vec<usize>>,
    views: Vec<Vec<View>>,
    servers: Vec<Server>,
    /// What it brought.
    pub counts: Counts,
}

impl World {
    /// Before the run.
    pub fn new(vms: usize, way: Way, skew: Skew, cut: f64, mut rng: SmallRng) -> World {
        let count = (vms / VMS_A_SERVER).max(FEWEST);
        let name = |vm: usize| format!("vm{vm:04}").parse::<Name>().expect("a name");
        let all: Vec<Name> = (0..vms).map(name).collect();
        let at: HashMap<&Name, usize> = all.iter().enumerate().map(|(at, vm)| (vm, at)).collect();
        let near = |vm: usize| -> Vec<usize> {
            match vms <= ALL {
                true => (0..vms).filter(|other| *other != vm).collect(),
                false => neighbours(&all[vm], &all).iter().map(|name| at[name]).collect(),
            }
        };
        let server = |number: usize, rng: &mut SmallRng| Server {
            rate: Rate(rng.random_range(RATES)),
            earlier: VecDeque::new(),
            arrivals: VecDeque::new(),
            turns: Pacer::default(),
            number: hash::stable(&[&format!("i-{number}")]),
        };
        let servers = (0..count).map(|number| server(number, &mut rng)).collect();
        let mut world = World {
            way,
            now: Moment(0),
            number: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            names: all.iter().map(|name| hash::stable(&[name.as_str()])).collect(),
            cut: (0..vms).map(|vm| (vm as f64) < cut * vms as f64).collect(),
            near: (0..vms).map(near).collect(),
            views: vec![vec![View::default(); count]; vms],
            servers,
            counts: Counts::default(),
            rng,
        };
        world.plan(skew);
        world
    }

    fn plan(&mut self, skew: Skew) {
        let mean = (RATES.start + RATES.end) / 2.0;
        let all = (self.servers.len() as f64 * mean * DEMAND * END.as_secs()) as u64;
        let callers = skew.vms(self.names.len());
        for _ in 0..all {
            let at = Moment(self.rng.random_range(0..END.0));
            let vm = self.rng.random_range(0..callers);
            self.counts.requests += 1;
            self.push(at, Event::Arrives(Request { vm, since: at, came_back: false }));
        }
        for server in 0..self.servers.len() {
            let at = Moment(self.rng.random_range(0..CHANGES_EVERY.0));
            self.push(at, Event::Changes(server));
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    /// Plays the run.
    pub fn run(&mut self) {
        let mut before = Moment(0);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + END {
                break;
            }
            if before >= Moment(0) + COUNTS_FROM {
                let rates: f64 = self.servers.iter().map(|server| server.rate.0).sum();
                self.counts.allowed += rates * at.since(before).as_secs();
            }
            (before, self.now) = (at, at);
            match self.events.remove(&number).expect("each event is pushed once") {
                Event::Arrives(request) => self.place(request),
                Event::Sends(request, server) => self.send(request, server),
                Event::Reaches(request, server, asked) => self.reaches(request, server, asked),
                Event::Heard(vm, server, rate, asked) => self.heard(vm, server, rate, asked),
                Event::Told(vm, server, news) => self.told(vm, server, news),
                Event::Changes(server) => self.change(server),
            }
        }
    }

    fn change(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.earlier.push_back((self.now, server.rate));
        server.rate = Rate(self.rng.random_range(RATES));
        self.push(self.now + CHANGES_EVERY, Event::Changes(at));
    }

    /// A VM's part of the limit of a server by its way; none if it has no part. `Err` if it knows of no limit.
    fn part(&self, vm: usize, server: usize) -> Result<Option<Share>, ()> {
        let rate = self.views[vm][server].limit.rate(self.now).ok_or(())?;
        let vms = self.names.len();
        let each = |rate: f64| Some(Share { senders: vms, interval: Span((1e6 / rate) as u64) });
        let part = match self.way {
            Way::Unheeded => return Err(()),
            Way::Alone => each(rate.0),
            Way::Even => each(rate.0 / vms as f64),
            Way::One => self.as_sender(vm, server, Share::new(&RateLimit::advertised(rate), 1)),
            Way::Senders | Way::Leases | Way::Dispatcher => {
                self.as_sender(vm, server, Share::new(&RateLimit::advertised(rate), vms))
            }
        };
        Ok(part)
    }

    fn as_sender(&self, vm: usize, server: usize, part: Share) -> Option<Share> {
        let others: Vec<u64> =
            (0..self.names.len()).filter(|at| *at != vm).map(|at| self.names[at]).collect();
        let number = self.servers[server].number;
        is_sender(&part, number, self.names[vm], &others).then_some(part)
    }

    /// When a request may leave for a server, if it may.
    fn turn(&self, vm: usize, server: usize) -> Option<Moment> {
        let (now, at) = (self.now, &self.servers[server]);
        match self.way {
            Way::Dispatcher => return Some(at.turns.next_send(&whole(at.rate), now)),
            Way::Leases => {
                return self.lease(vm, server).map(|part| at.turns.next_send(&part, now));
            }
            _ => {}
        }
        match self.part(vm, server) {
            Err(()) => Some(self.now),
            Ok(part) => Some(self.views[vm][server].turns.next_send(&part?, self.now)),
        }
    }

    /// What the first VM for a server, which alone counts its turns, grants another; a VM that does not reach it gets none.
    fn lease(&self, vm: usize, server: usize) -> Option<Share> {
        let number = self.servers[server].number;
        let weight = |at: &usize| hash::mix(number, self.names[*at]);
        let first = (0..self.names.len()).max_by_key(weight)?;
        let is_reached = vm == first || !(self.cut[vm] || self.cut[first]);
        let rate = self.views[first][server].limit.rate(self.now);
        let rate = rate.or(self.views[vm][server].limit.rate(self.now));
        is_reached.then(|| rate.map_or(FREE, |rate| Share::new(&RateLimit::advertised(rate), 1)))
    }

    fn take(&mut self, vm: usize, server: usize) {
        let now = self.now;
        if self.way == Way::Dispatcher {
            let server = &mut self.servers[server];
            server.turns.reserve(&whole(server.rate), now);
        } else if self.way == Way::Leases {
            let part = self.lease(vm, server).expect("its turn was asked for");
            self.servers[server].turns.reserve(&part, now);
            self.counts.bytes += 2 * WORD;
        } else if let Ok(Some(part)) = self.part(vm, server) {
            self.views[vm][server].turns.reserve(&part, self.now);
        }
    }

    /// Finds the server whose turn comes first, by chance among equals.
    fn place(&mut self, request: Request) {
        let offset = self.rng.random_range(0..self.servers.len());
        let order = (0..self.servers.len()).map(|at| (at + offset) % self.servers.len());
        let turns = order.filter_map(|server| Some((self.turn(request.vm, server)?, server)));
        let first = turns.min_by_key(|(turn, _)| *turn);
        match first.filter(|(turn, _)| *turn <= request.since + GOAL) {
            Some((turn, server)) => {
                self.take(request.vm, server);
                self.push(turn, Event::Sends(request, server));
            }
            None => self.refuse(request),
        }
    }

    fn refuse(&mut self, mut request: Request) {
        if std::mem::replace(&mut request.came_back, true) {
            return;
        }
        let callers = request.vm;
        // The balancer takes a caller that comes back to another VM of its data centre.
        request.vm = (callers + self.rng.random_range(0..=callers)) % self.names.len();
        let apart = Span(self.rng.random_range(0..COME_BACK.0));
        self.push(self.now + COME_BACK + apart, Event::Arrives(request));
    }

    fn send(&mut self, request: Request, server: usize) {
        let way = Span(self.rng.random_range(500..AWAY.0));
        self.push(self.now + way, Event::Reaches(request, server, self.now));
    }

    fn reaches(&mut self, request: Request, at: usize, asked: Moment) {
        let now = self.now;
        let heard = self.views[request.vm][at].first_heard;
        if heard.is_some_and(|heard| asked >= heard + HEARD) {
            self.judge(at);
        }
        self.counts.in_time += u64::from(asked <= request.since + GOAL);
        self.counts.reached += u64::from(now >= Moment(0) + COUNTS_FROM);
        let way = Span(self.rng.random_range(500..AWAY.0));
        let rate = self.servers[at].rate;
        self.push(now + way, Event::Heard(request.vm, at, rate, asked));
    }

    /// Notes an arrival from a VM that had heard of the limit.
    fn judge(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        server.arrivals.push_back(now);
        while server.arrivals.front().is_some_and(|first| now.since(*first) >= LIMIT_WINDOW) {
            server.arrivals.pop_front();
        }
        while server.earlier.front().is_some_and(|(ended, _)| now.since(*ended) >= LIMIT_WINDOW) {
            server.earlier.pop_front();
        }
        let got = server.arrivals.len() as f64;
        // A window in which the limit changed is judged by the greatest that was named.
        let named = server.earlier.iter().map(|(_, rate)| rate.0).fold(server.rate.0, f64::max);
        let allowed = named * LIMIT_WINDOW.as_secs();
        self.counts.beyond = self.counts.beyond.max(got - allowed);
        self.counts.of_rule = self.counts.of_rule.max(got / (1.5 * allowed + 5.0));
    }

    fn heard(&mut self, vm: usize, server: usize, rate: Rate, asked: Moment) {
        let now = self.now;
        let view = &mut self.views[vm][server];
        view.first_heard = view.first_heard.or(Some(now));
        view.limit.observe(LimitHeader::Present(rate), asked, now);
        match view.limit.next_announcement(now) {
            Some((news, Recipients::All)) => self.tell_all(vm, server, news),
            Some((news, Recipients::Senders(rates))) => self.tell_senders(vm, server, rates, news),
            None => {}
        }
    }

    fn told(&mut self, vm: usize, server: usize, news: Update) {
        let view = &mut self.views[vm][server];
        if view.limit.merge(news, self.now) {
            self.tell_all(vm, server, news);
        }
    }

    fn tell_all(&mut self, vm: usize, server: usize, news: Update) {
        let near = self.near[vm].clone();
        self.tell(vm, server, &near, news);
    }

    fn tell_senders(&mut self, vm: usize, server: usize, rates: [Rate; 2], news: Update) {
        let mut all: Vec<usize> = (0..self.names.len()).collect();
        let weight = |at: &usize| Reverse(hash::mix(self.servers[server].number, self.names[*at]));
        all.sort_unstable_by_key(weight);
        all.truncate(max_senders(rates, self.names.len()));
        self.tell(vm, server, &all, news);
    }

    fn tell(&mut self, vm: usize, server: usize, others: &[usize], news: Update) {
        if !self.way.tells() || self.cut[vm] {
            return;
        }
        for to in others.iter().copied().filter(|to| *to != vm) {
            self.counts.bytes += WORD;
            if !self.cut[to] {
                let way = Span(self.rng.random_range(500..AWAY.0));
                self.push(self.now + way, Event::Told(to, server, news));
            }
        }
    }
}

/// All of a limit, for one that sends for all.
fn whole(rate: Rate) -> Share {
    Share { senders: 1, interval: Span((1e6 / rate.0) as u64) }
}
