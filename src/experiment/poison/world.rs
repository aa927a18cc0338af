//! VMs, servers and callers in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::fleet::{Fleet, Way};
use crate::decide::poison::{
    Effects, Exchange, Message, OpenRequest, Recipients, STABLE_AFTER, ServerIncarnation, Topology,
};
use crate::peer::wire::encode;
use crate::unit::{Digest, Moment, Span, digest};

/// Contents that crash servers, one after the other.
pub const POISONS: usize = 3;

/// Time from one such content to the next, repeats of it within the first second, and after that in a second, for so long.
const EVERY: Span = Span::secs(15);
const BURST: usize = 50;
const REPEATS: usize = 3;
const REPEATED_FOR: u64 = 10;

/// When a quarter of the servers crash for no request's sake, within so long, and when a run ends.
const FALL: Span = Span::secs(50);
const FALL_WITHIN: Span = Span::secs(2);
const END: Span = Span::secs(60);

/// VMs without trouble know after this what others know.
const CONTACT: Span = Span::secs(3);

/// Servers for each VM, as on the users' large site; and the fewest.
const SERVERS: f64 = 0.56;
const FEWEST: usize = 12;

/// Innocent requests that come to a VM in a second, and the share of them that ask the same.
const RATE: f64 = 2.0;
const SAME: f64 = 0.3;

/// Attempts of a request, and servers that may refuse a connection beside them.
const ATTEMPTS: u32 = 3;
const REFUSED: u32 = 4;

/// A server is back after this.
const BACK: Span = Span::secs(3);

/// Bytes of a packet beside its content.
const PACKET: usize = 60;

/// One request on its way.
#[derive(Clone)]
struct Request {
    content: Digest,
    /// Which of the contents that crash servers, if it has one.
    poison: Option<usize>,
    vm: usize,
    left: Span,
    attempts: u32,
    repeats: u32,
    since: Moment,
}

enum Event {
    Arrives(Request),
    Ends(u64),
    Crashes(usize, u64),
    IsBack(usize),
    Hears(usize, Message),
    /// A suspect may run now, by the word of the VM that lets it.
    MayRun(Request),
}

struct Server {
    life: u64,
    lives: bool,
    open: HashSet<u64>,
}

struct Run {
    request: Request,
    server: usize,
    begun: Moment,
}

/// One run of the experiment.
pub struct World<'a> {
    fleet: &'a Fleet,
    way: Way,
    rng: SmallRng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    vms: Vec<Exchange>,
    cut: Vec<bool>,
    servers: Vec<Server>,
    runs: HashMap<u64, Run>,
    /// Suspects that run by the word of the VM that lets them, and those that wait for it.
    running: HashMap<Digest, u64>,
    waiting: HashMap<Digest, Vec<Request>>,
    suspected: HashMap<Digest, Moment>,
    third: [Option<Moment>; POISONS],
    /// Servers lost by each content that crashes them, and retries too late.
    pub lost: [u32; POISONS],
    pub late: [u32; POISONS],
    /// Innocent tries, and those of them that were refused.
    pub innocent: u64,
    pub refused: u64,
    /// How long suspected innocent requests waited.
    pub waits: Vec<Span>,
    bytes: u64,
}

impl<'a> World<'a> {
    /// A run before its start, with a share of the VMs cut off from the others.
    pub fn new(fleet: &'a Fleet, way: Way, cut: f64, mut rng: SmallRng) -> World<'a> {
        let vms = fleet.vms();
        let servers = ((vms as f64 * SERVERS) as usize).max(FEWEST);
        let cut = (0..vms).map(|_| rng.random_bool(cut)).collect();
        let server = |_| Server { life: 0, lives: true, open: HashSet::new() };
        let mut world = World {
            fleet,
            way,
            rng,
            now: Moment(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            vms: vec![Exchange::default(); vms],
            cut,
            servers: (0..servers).map(server).collect(),
            runs: HashMap::new(),
            running: HashMap::new(),
            waiting: HashMap::new(),
            suspected: HashMap::new(),
            third: [None; POISONS],
            lost: [0; POISONS],
            late: [0; POISONS],
            innocent: 0,
            refused: 0,
            waits: Vec::new(),
            bytes: 0,
        };
        world.plan();
        world
    }

    /// Bytes that a VM sent in a second.
    pub fn bytes_each(&self) -> f64 {
        self.bytes as f64 / self.fleet.vms() as f64 / END.as_secs()
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    fn plan(&mut self) {
        for poison in 0..POISONS {
            let begins = Moment(0) + Span::secs(3) + Span(EVERY.0 * poison as u64);
            let content = digest(&[b"poison", &[poison as u8]]);
            for _ in 0..BURST {
                let at = begins + Span(self.rng.random_range(0..1_000_000));
                self.arrive(at, content, Some(poison));
            }
            for second in 1..=REPEATED_FOR {
                for _ in 0..REPEATS {
                    let at =
                        begins + Span::secs(second) + Span(self.rng.random_range(0..1_000_000));
                    self.arrive(at, content, Some(poison));
                }
            }
        }
        let innocent = (self.fleet.vms() as f64 * RATE * END.as_secs()) as u64;
        for number in 0..innocent {
            let at = Moment(self.rng.random_range(0..END.0));
            let same = self.rng.random_bool(SAME);
            let content = if same { 0 } else { number + 1 };
            self.arrive(at, digest(&[b"innocent", &content.to_be_bytes()]), None);
        }
        for at in 0..self.servers.len() / 4 {
            let when = Moment(0) + FALL + Span(self.rng.random_range(0..FALL_WITHIN.0));
            // The first quarter is as good as any: requests draw their servers.
            self.push(when, Event::Crashes(at, u64::MAX));
        }
    }

    fn arrive(&mut self, at: Moment, content: Digest, poison: Option<usize>) {
        let vm = self.rng.random_range(0..self.fleet.vms());
        let left = Span(self.rng.random_range(200_000..6_000_000));
        let request = Request { content, poison, vm, left, attempts: 0, repeats: 0, since: at };
        self.push(at, Event::Arrives(request));
    }

    /// Plays the run.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + END {
                break;
            }
            self.now = at;
            match self.events.remove(&number).expect("each event is pushed once") {
                Event::Arrives(request) => {
                    self.innocent += u64::from(request.poison.is_none());
                    self.send(request);
                }
                Event::MayRun(request) => {
                    if request.poison.is_none() {
                        self.waits.push(self.now.since(request.since));
                    }
                    self.start(request, true);
                }
                Event::Ends(run) => self.ends(run),
                Event::Crashes(server, life) => self.crashes(server, life),
                Event::IsBack(server) => self.servers[server].lives = true,
                Event::Hears(vm, news) => {
                    let ways = self.fleet.ways();
                    let out = self.vms[vm].on_message(&news, ways, self.now);
                    self.act(vm, out);
                }
            }
        }
    }

    fn is_held(&self, request: &Request) -> bool {
        let held = self.vms[request.vm].quarantine_crashes(&request.content, self.now);
        self.way != Way::Nothing && held.is_some()
    }

    /// Sends a request to a server, or refuses it, or lets it wait for its turn.
    fn send(&mut self, request: Request) {
        if self.is_held(&request) {
            self.refused += u64::from(request.poison.is_none());
            return;
        }
        if self.must_wait(&request) {
            self.waiting.entry(request.content).or_default().push(request);
            return;
        }
        self.start(request, false);
    }

    /// Whether a suspect waits since another of the same content runs. One that is cut off asks nobody.
    fn must_wait(&mut self, request: &Request) -> bool {
        if self.way != Way::OneAtATime || self.cut[request.vm] {
            return false;
        }
        let owner = self.fleet.gatherers(request.content)[0];
        let heard = Span::millis(10);
        let is_suspect =
            self.suspected.get(&request.content).is_some_and(|at| self.now.since(*at) >= heard);
        if self.cut[owner] || !is_suspect {
            return false;
        }
        if self.running.contains_key(&request.content) {
            return true;
        }
        self.running.insert(request.content, 0);
        false
    }

    fn start(&mut self, mut request: Request, was_let: bool) {
        if was_let && self.is_held(&request) {
            self.refused += u64::from(request.poison.is_none());
            self.let_next(request.content);
            return;
        }
        request.attempts += 1;
        let mut server = None;
        for _ in 0..=REFUSED {
            let drawn = (0..self.servers.len()).choose(&mut self.rng).expect("there are servers");
            if self.servers[drawn].lives {
                server = Some(drawn);
                break;
            }
        }
        let Some(server) = server else {
            self.let_next(request.content);
            return;
        };
        self.number += 1;
        let run = self.number;
        if let Some(poison) = request.poison {
            let is_late = self.third[poison].is_some_and(|third| self.now.since(third) > CONTACT);
            self.late[poison] += u32::from(is_late && !self.cut[request.vm]);
            let after = Span(self.rng.random_range(20_000..180_000));
            let life = self.servers[server].life;
            self.push(self.now + after, Event::Crashes(server, life));
        } else {
            self.push(self.now + request.left, Event::Ends(run));
        }
        self.servers[server].open.insert(run);
        self.runs.insert(run, Run { request, server, begun: self.now });
    }

    fn ends(&mut self, run: u64) {
        let Some(Run { request, server, .. }) = self.runs.remove(&run) else { return };
        self.servers[server].open.remove(&run);
        let out = self.vms[request.vm].on_success(request.content, self.now);
        self.act(request.vm, out);
        self.suspected.remove(&request.content);
        self.let_next(request.content);
    }

    /// The next suspect of a content may run, if any waits.
    fn let_next(&mut self, content: Digest) {
        self.running.remove(&content);
        let Some(next) = self.waiting.get_mut(&content).and_then(Vec::pop) else { return };
        self.running.insert(content, 0);
        let way = Span(self.rng.random_range(2_000..8_000));
        self.push(self.now + way, Event::MayRun(next));
    }

    /// A server crashes: under a content that came to this life of it, or by itself.
    fn crashes(&mut self, server: usize, life: u64) {
        let by_itself = life == u64::MAX;
        if !self.servers[server].lives || (!by_itself && self.servers[server].life != life) {
            return;
        }
        let open = std::mem::take(&mut self.servers[server].open);
        let known =
            ServerIncarnation::new(&format!("server{server}"), Some(self.servers[server].life));
        self.servers[server].lives = false;
        self.servers[server].life += 1;
        self.push(self.now + BACK, Event::IsBack(server));
        let mut open: Vec<u64> = open.into_iter().collect();
        open.sort_unstable();
        let broken: Vec<Run> = open.iter().filter_map(|run| self.runs.remove(run)).collect();
        if !by_itself {
            let poisons: HashSet<usize> =
                broken.iter().filter_map(|run| run.request.poison).collect();
            poisons.into_iter().for_each(|poison| self.count(poison));
        }
        for Run { request, begun, .. } in broken {
            let ran = request.poison.is_none() && self.now.since(begun) >= STABLE_AFTER;
            let one = [OpenRequest { content: request.content, was_stable: ran }];
            let out =
                self.vms[request.vm].on_server_crash(known, &one, self.fleet.ways(), self.now);
            self.act(request.vm, out);
            self.suspected.entry(request.content).or_insert(self.now);
            self.let_next(request.content);
            self.again(request);
        }
    }

    fn count(&mut self, poison: usize) {
        self.lost[poison] += 1;
        if self.lost[poison] == 3 {
            self.third[poison] = Some(self.now);
        }
    }

    /// A request goes elsewhere, or its caller sends it once more.
    fn again(&mut self, mut request: Request) {
        if request.attempts < ATTEMPTS {
            let at = self.now + Span::millis(3);
            self.push_again(at, request);
        } else if request.poison.is_none() && request.repeats == 0 {
            request.vm = self.rng.random_range(0..self.fleet.vms());
            (request.attempts, request.repeats) = (0, 1);
            self.push(self.now + Span::millis(300), Event::Arrives(request));
        }
    }

    fn push_again(&mut self, at: Moment, mut request: Request) {
        request.since = at;
        // A further attempt is no further try of its caller.
        self.innocent -= u64::from(request.poison.is_none());
        self.push(at, Event::Arrives(request));
    }

    fn act(&mut self, vm: usize, out: Effects) {
        if matches!(self.way, Way::Nothing | Way::Alone) || self.cut[vm] {
            return;
        }
        for word in out.messages {
            let to = match word.to {
                Recipients::All => self.fleet.neighbours(vm),
                Recipients::Aggregators(_) if self.fleet.ways() == Topology::Direct => {
                    self.fleet.neighbours(vm)
                }
                Recipients::Aggregators(content) => self.fleet.gatherers(content),
            };
            let bytes = (encode(&word.message).len() + PACKET) as u64;
            for other in to.into_iter().filter(|other| *other != vm) {
                self.bytes += bytes;
                if !self.cut[other] {
                    let way = Span(self.rng.random_range(1_000..4_000));
                    self.push(self.now + way, Event::Hears(other, word.message.clone()));
                }
            }
        }
    }
}
