//! VMs, servers and callers in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::Rng;
use rand::rngs::SmallRng;

use super::Way;
use crate::decide::availability::{self, Availability, Signal, Unavailable};
use crate::decide::load::Load;
use crate::decide::placement::{Candidate, select_least_loaded};
use crate::unit::{Moment, Span};

/// Servers for each VM, as on the users' large site; and the fewest.
const SERVERS: f64 = 0.56;
const FEWEST: usize = 12;

/// Requests that a server runs at once, that wait there beside them, and how long one runs in the mean.
const SLOTS: u32 = 16;
const QUEUE: u32 = 4;
const RUNS: Span = Span::secs(1);

/// When the burst begins and ends, and when a run ends; load outside of it, as a part of the capacity.
const BURST: std::ops::Range<u64> = 4..10;
const END: Span = Span::secs(18);
const CALM: f64 = 0.5;

/// Servers that turn all away for no load's sake, as a part of all, and when they do.
const GREY: f64 = 0.25;
const GREY_FROM: Moment = Moment(5_000_000);
const GREY_FOR: Span = Span::secs(5);

/// Servers that leave while the store is away, as a part of all; when they say so, how long they serve on, and when the next life
/// under the same id begins.
const LEAVING: f64 = 0.1;
const LEAVES_AT: Moment = Moment(6_000_000);
const SERVES_ON: Span = Span::secs(3);
const BACK_AFTER: Span = Span::secs(5);

/// Time from a VM to a server and back at the most, and between VMs.
const AWAY: Span = Span::millis(3);

/// Time to the beginning that callers want, attempts of a request, and when a caller that was refused comes back at the latest.
const AIM: Span = Span::millis(1500);
const ATTEMPTS: u32 = 3;
const PATIENCE: Span = Span::secs(5);

/// Time after which a caller comes back that was told nothing better.
const COME_BACK: Span = Span::millis(300);

/// What binds a VM that has heard it: an answer is on its way and the next choice made within this.
const HEARD: Span = Span::millis(50);

/// Time until what waits for room looks again.
const LOOK: Span = Span::millis(20);

/// Bytes of a word between VMs, with its packet.
const WORD: u64 = 110;

#[derive(Clone)]
struct Request {
    vm: usize,
    since: Moment,
    attempts: u32,
    /// Servers that turned it away.
    tried: Vec<usize>,
    came_back: bool,
}

enum Event {
    Arrives(Request),
    /// Reaches a server.
    Reaches(Request, usize),
    /// A server's answer reaches the VM: what its head says, and the load that it tells.
    Heard(Request, usize, u64, Signal, u32, bool),
    /// A run ends at a life of a server.
    Ends(usize, usize, u64),
    Leaves(usize),
    IsOver(usize),
    IsBack(usize),
    /// A VM hears that a server wants rest until a moment, from another.
    Told(usize, usize, Moment),
}

struct Server {
    life: u64,
    lives: bool,
    leaves: bool,
    grey: bool,
    running: u32,
    waiting: std::collections::VecDeque<(Request, Moment)>,
}

impl Server {
    /// Requests that run or wait there.
    fn held(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}

/// What one VM knows of one server.
#[derive(Clone, Default)]
struct View {
    standing: Availability,
    load: Load,
    life: u64,
    /// Since when it knows that the server rests or leaves, by its own ears.
    barred: Option<(Moment, Moment)>,
    /// Until when the server rests, as others say.
    cared_until: Moment,
}

/// What a run measured.
#[derive(Clone, Copy, Default)]
pub struct Counts {
    /// Requests of callers, their second tries apart.
    pub requests: u64,
    /// Those that began to run within the aim, and at all.
    pub in_aim: u64,
    pub served: u64,
    /// Sends, and those that were turned away.
    pub sends: u64,
    pub turned_away: u64,
    /// Sends that reached a server in a rest, or after it had said that it leaves, that the VM had heard of by then.
    pub against: u64,
    /// Requests that a server's planned end cut off.
    pub cut: u64,
    /// Bytes of words between VMs.
    pub bytes: u64,
    /// Tenths of a second in the burst in which nothing began to run.
    pub idle: u64,
}

/// One run.
pub struct World {
    way: Way,
    rest: Span,
    rng: SmallRng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    views: Vec<Vec<View>>,
    cut: Vec<bool>,
    servers: Vec<Server>,
    begun: Vec<bool>,
    /// What was measured.
    pub counts: Counts,
}

impl World {
    /// A run before its start: so many VMs, some cut off from the others, a burst of so many times the capacity.
    pub fn new(vms: usize, way: Way, cut: f64, burst: f64, mut rng: SmallRng) -> World {
        let count = ((vms as f64 * SERVERS) as usize).max(FEWEST);
        let rest = Span(rng.random_range(500_000..5_000_000));
        let cut = (0..vms).map(|_| rng.random_bool(cut)).collect();
        let server = |_| Server {
            life: 0,
            lives: true,
            leaves: false,
            grey: false,
            running: 0,
            waiting: Default::default(),
        };
        let mut world = World {
            way,
            rest,
            rng,
            now: Moment(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            views: vec![vec![View::default(); count]; vms],
            cut,
            servers: (0..count).map(server).collect(),
            begun: vec![false; (END.0 / 100_000) as usize + 1],
            counts: Counts::default(),
        };
        world.plan(burst);
        world
    }

    fn plan(&mut self, burst: f64) {
        let count = self.servers.len();
        let capacity = count as f64 * f64::from(SLOTS) / RUNS.as_secs();
        for second in 0..(END.0 / 1_000_000) {
            let load = if BURST.contains(&second) { burst } else { CALM };
            for _ in 0..(capacity * load) as u64 {
                let at = Moment(second * 1_000_000 + self.rng.random_range(0..1_000_000));
                let vm = self.rng.random_range(0..self.views.len());
                let request =
                    Request { vm, since: at, attempts: 0, tried: Vec::new(), came_back: false };
                self.counts.requests += 1;
                self.push(at, Event::Arrives(request));
            }
        }
        let grey = (count as f64 * GREY) as usize;
        self.servers[..grey].iter_mut().for_each(|server| server.grey = true);
        let leaving = ((count as f64 * LEAVING) as usize).max(1);
        (count - leaving..count).for_each(|at| self.push(LEAVES_AT, Event::Leaves(at)));
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    /// Plays the run.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + END {
                break;
            }
            self.now = at;
            match self.events.remove(&number).expect("each event is pushed once") {
                Event::Arrives(request) => self.place(request),
                Event::Reaches(request, server) => self.reaches(request, server),
                Event::Heard(request, server, life, said, load, taken) => {
                    self.heard(request, server, life, said, load, taken);
                }
                Event::Ends(vm, server, life) => self.ends(vm, server, life),
                Event::Leaves(server) => {
                    self.servers[server].leaves = true;
                    self.push(self.now + SERVES_ON, Event::IsOver(server));
                }
                Event::IsOver(server) => self.is_over(server),
                Event::IsBack(server) => {
                    let server = &mut self.servers[server];
                    (server.lives, server.leaves) = (true, false);
                    server.life += 1;
                }
                Event::Told(vm, server, until) => self.tell(vm, server, until),
            }
        }
        let burst = &self.begun[BURST.start as usize * 10..BURST.end as usize * 10];
        self.counts.idle = burst.iter().filter(|begun| !**begun).count() as u64;
    }

    /// Why a VM sends nothing to a server now, by its way.
    fn bar(&self, vm: usize, server: usize) -> Option<Unavailable> {
        let bar = self.views[vm][server]
            .standing
            .unavailable_reason(self.now)
            .filter(|bar| bar.is_hard());
        match (self.way, bar) {
            (Way::Unheeded, _) | (Way::Alone, Some(Unavailable::Probing(_))) => None,
            (_, bar) => bar,
        }
    }

    /// Finds a server for a request, lets it wait, or refuses it.
    fn place(&mut self, request: Request) {
        let vm = request.vm;
        let may =
            |server: &usize| !request.tried.contains(server) && self.bar(vm, *server).is_none();
        let open: Vec<usize> = (0..self.servers.len()).filter(may).collect();
        let candidate = |server: &usize| {
            let view = &self.views[vm][*server];
            let cared = self.way == Way::Told && self.now < view.cared_until;
            let more = if cared { f64::from(SLOTS) } else { 0.0 };
            let zero = Span(0);
            Candidate {
                load: view.load.estimate(self.now) + more,
                slots: f64::from(SLOTS),
                local: true,
                until_prefilled: zero,
                prefill: zero,
            }
        };
        let candidates: Vec<Candidate> = open.iter().map(candidate).collect();
        let least = select_least_loaded(&candidates, self.rng.random());
        let spares = self.way == Way::Spares && self.now + LOOK <= request.since + AIM;
        match least {
            Some(at) if spares && candidates[at].load >= f64::from(SLOTS) => {
                return self.push(self.now + LOOK, Event::Arrives(request));
            }
            Some(at) => return self.send(request, open[at]),
            None => {}
        }
        let rests: Vec<Span> = (0..self.servers.len())
            .filter_map(|server| match self.bar(vm, server) {
                Some(Unavailable::BackingOff(left) | Unavailable::Probing(left)) => Some(left),
                _ => None,
            })
            .collect();
        let first = rests.iter().min().copied();
        let waits = matches!(self.way, Way::Waits | Way::Told | Way::Spares);
        match first.filter(|left| waits && self.now + *left <= request.since + AIM) {
            Some(left) => {
                let apart = Span(self.rng.random_range(0..20_000));
                let mut request = request;
                request.tried.clear();
                self.push(self.now + left + apart, Event::Arrives(request));
            }
            None => self.refuse(request, rests),
        }
    }

    fn refuse(&mut self, mut request: Request, rests: Vec<Span>) {
        if std::mem::replace(&mut request.came_back, true) {
            return;
        }
        let after = availability::retry_after(rests.into_iter(), self.rng.random());
        let after = after.unwrap_or(COME_BACK).min(Span(PATIENCE.0 / 3));
        (request.attempts, request.tried) = (0, Vec::new());
        request.vm = self.rng.random_range(0..self.views.len());
        self.push(self.now + after, Event::Arrives(request));
    }

    fn send(&mut self, mut request: Request, server: usize) {
        request.attempts += 1;
        request.tried.push(server);
        self.counts.sends += 1;
        let now = self.now;
        let view = &mut self.views[request.vm][server];
        view.load.on_open();
        view.standing.on_send(now);
        let is_against = |(since, until): (Moment, Moment)| now >= since + HEARD && now < until;
        self.counts.against += u64::from(view.barred.is_some_and(is_against));
        let way = Span(self.rng.random_range(500..AWAY.0));
        self.push(now + way, Event::Reaches(request, server));
    }

    fn reaches(&mut self, request: Request, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let is_grey = server.grey && now >= GREY_FROM && now < GREY_FROM + GREY_FOR;
        let held = server.held();
        let is_full = held >= SLOTS + QUEUE;
        let (life, leaves, lives) = (server.life, server.leaves, server.lives);
        if !lives || is_grey || is_full {
            let rest = lives.then_some(self.rest);
            return self.answer(
                request,
                at,
                life,
                Signal { draining: leaves, backoff: rest },
                held,
                false,
            );
        }
        if server.running < SLOTS {
            server.running += 1;
            return self.begin(request, at);
        }
        server.waiting.push_back((request, now));
    }

    /// A request begins to run; its head leaves.
    fn begin(&mut self, request: Request, at: usize) {
        let server = &self.servers[at];
        let (life, leaves, held) = (server.life, server.leaves, server.held());
        let long = Span((-(1.0 - self.rng.random::<f64>()).ln() * RUNS.0 as f64) as u64);
        self.push(self.now + long, Event::Ends(request.vm, at, life));
        self.begun[(self.now.0 / 100_000) as usize] = true;
        self.answer(request, at, life, Signal { draining: leaves, backoff: None }, held, true);
    }

    fn answer(
        &mut self,
        request: Request,
        at: usize,
        life: u64,
        said: Signal,
        held: u32,
        taken: bool,
    ) {
        let way = Span(self.rng.random_range(500..AWAY.0));
        self.push(self.now + way, Event::Heard(request, at, life, said, held, taken));
    }

    fn heard(
        &mut self,
        request: Request,
        at: usize,
        life: u64,
        said: Signal,
        held: u32,
        taken: bool,
    ) {
        let (vm, now) = (request.vm, self.now);
        let rest = self.rest;
        let view = &mut self.views[vm][at];
        // The entry of a new life has reached all by the time that it takes requests.
        if view.life != life {
            *view = View { life, load: view.load, ..View::default() };
        }
        view.standing.observe(said, now);
        view.load.observe(held, now);
        if said.draining {
            view.barred.get_or_insert((now, Moment(u64::MAX)));
        } else if said.backoff.is_some() && view.barred.is_none_or(|(_, until)| until <= now) {
            view.barred = Some((now, now + rest));
        }
        if taken {
            let late = now.since(request.since);
            self.counts.served += 1;
            self.counts.in_aim += u64::from(late <= AIM);
            return;
        }
        view.load.on_close();
        self.counts.turned_away += 1;
        if said.backoff.is_some() && self.way == Way::Told {
            self.tell(vm, at, now + rest);
        }
        if request.attempts < ATTEMPTS {
            self.place(request)
        } else {
            self.refuse(request, Vec::new())
        }
    }

    /// Notes what a VM heard, and tells its neighbours on the ring if it is news to it.
    fn tell(&mut self, vm: usize, server: usize, until: Moment) {
        let is_known = self.views[vm][server].cared_until + HEARD >= until;
        self.views[vm][server].cared_until = until;
        if is_known || self.cut[vm] {
            return;
        }
        let vms = self.views.len();
        let mut distance = 1;
        while distance < vms {
            self.counts.bytes += WORD;
            let other = (vm + distance) % vms;
            if !self.cut[other] {
                let way = Span(self.rng.random_range(1_000..4_000));
                self.push(self.now + way, Event::Told(other, server, until));
            }
            distance *= 2;
        }
    }

    fn ends(&mut self, vm: usize, at: usize, life: u64) {
        self.views[vm][at].load.on_close();
        let server = &mut self.servers[at];
        if server.life != life || !server.lives {
            return;
        }
        server.running -= 1;
        // What waits too long has left.
        while let Some((request, since)) = server.waiting.pop_front() {
            if self.now.since(since) > PATIENCE {
                continue;
            }
            server.running += 1;
            return self.begin(request, at);
        }
    }

    fn is_over(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.lives = false;
        self.counts.cut += u64::from(server.held());
        server.running = 0;
        server.waiting.clear();
        self.push(self.now + BACK_AFTER, Event::IsBack(at));
    }
}
