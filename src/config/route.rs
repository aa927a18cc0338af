//! Routes: which service answers a request, and how long and how often it may be tried.

use std::collections::HashMap;
use std::rc::Rc;

use crate::decide::cold_start::ColdStart;
use crate::unit::{Model, Region, Revision, Service, Span, Workspace};

/// What a route allows a request to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Never,
    /// Its answer is a stream of events, which another server can go on with.
    Resume,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: Service,
    /// Its weight among the parts.
    pub weight: f64,
}

/// The regions in which a request may be read and answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Regions(Vec<Region>);

impl Regions {
    /// Just these regions; any region if none is named.
    pub fn only(regions: Vec<Region>) -> Regions {
        Regions(regions)
    }

    /// Whether a region is among them; one that is not known is only where any is.
    pub fn allow(&self, region: Option<&Region>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Paths that it takes begin so.
    pub prefix: String,
    /// The services that answer, by weight.
    pub parts: Vec<Part>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Longest time that a request is held.
    pub timeout: Span,
    /// Time to the answer, or to the first event, that callers want.
    pub goal: Span,
    /// Servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether a request needs no key.
    pub public: bool,
    /// Where its requests may go.
    pub regions: Regions,
    /// Models of a cascade, smallest first; empty if the caller names the model.
    pub cascade: Vec<Model>,
}

impl Route {
    /// The service for a request; `point` lies between 0 and 1 and picks by weight.
    pub fn service(&self, point: f64) -> Option<&Service> {
        let sum: f64 = self.parts.iter().map(|part| part.weight).sum();
        let mut left = point * sum;
        let weighted = self.parts.iter().find(|part| {
            left -= part.weight;
            left < 0.0
        });
        let last = || self.parts.iter().rev().find(|part| part.weight > 0.0);
        weighted.or_else(last).map(|part| &part.service)
    }
}

/// A workspace as callers' keys name it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The workspace.
    pub workspace: Workspace,
    /// Its rank, which comes before the route's; 0 is the most urgent.
    pub priority: u32,
    /// Where its requests may go; the route's regions bind beside these.
    pub regions: Regions,
}

/// What is declared of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Connections that one server takes from all VMs together.
    pub connections: u32,
    /// What a server bears that has just started; none if it bears all at once.
    pub cold: Option<ColdStart>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: usize,
    /// Time within which a request's head must come.
    pub head_within: Span,
    /// Time that a connection may rest.
    pub idle: Span,
}

/// Limits before any configuration is known.
const LIMITS: Limits =
    Limits { body: 4 * 1024 * 1024, head_within: Span::secs(3), idle: Span::secs(15) };

impl Default for Limits {
    fn default() -> Limits {
        LIMITS
    }
}

/// All routes, keys and services of one revision.
#[derive(Debug, Default)]
pub struct Table {
    /// The operator's number of the configuration; only rises.
    pub revision: Revision,
    /// What callers may send.
    pub limits: Limits,
    /// Whether requests need a key, but on public routes.
    pub keyed: bool,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<String, Rc<Holder>>,
    pools: HashMap<Service, Rc<Pool>>,
}

impl Table {
    /// A table without routes.
    pub fn new(revision: Revision, limits: Limits, keyed: bool) -> Table {
        Table { revision, limits, keyed, ..Table::default() }
    }

    /// Adds a route of a host.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        // Longest first, so that the first that fits is the right one.
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, Rc::new(route));
    }

    /// Adds a key of a workspace.
    pub fn add_key(&mut self, key: &str, holder: Rc<Holder>) {
        self.keys.insert(key.to_owned(), holder);
    }

    /// Adds a service.
    pub fn add_pool(&mut self, service: Service, pool: Pool) {
        self.pools.insert(service, Rc::new(pool));
    }

    /// The route of a host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Who holds a key.
    pub fn holder(&self, key: &str) -> Option<&Rc<Holder>> {
        self.keys.get(key)
    }

    /// What is declared of a service.
    pub fn pool(&self, service: &Service) -> Option<&Rc<Pool>> {
        self.pools.get(service)
    }

    /// Routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}
