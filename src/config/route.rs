//! Routes: which service answers a request, and how long and how often it may be tried.

use std::collections::HashMap;
use std::rc::Rc;

use crate::decide::cold_start::ColdStart;
use crate::unit::{Model, Region, Revision, Service, Span, Workspace};

/// What a route allows a request to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Never,
    /// Its answer is a stream of events, which another server can go on with.
    Resume,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
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
    pub fn new(regions: Vec<Region>) -> Regions {
        Regions(regions)
    }

    /// Whether a region is among them; one that is not known is only where any is.
    pub fn allows(&self, region: Option<&Region>) -> bool {
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
    pub services: Vec<WeightedService>,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a request is held.
    pub timeout: Span,
    /// Time to the answer, or to the first event, that callers want.
    pub latency_goal: Span,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
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
        let sum: f64 = self.services.iter().map(|service| service.weight).sum();
        let mut left = point * sum;
        let selected = self.services.iter().find(|service| {
            left -= service.weight;
            left < 0.0
        });
        let last = || self.services.iter().rev().find(|service| service.weight > 0.0);
        selected.or_else(last).map(|service| &service.service)
    }
}

/// A workspace as callers' keys name it.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
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
    pub max_connections: u32,
    /// What a server bears that has just started; none if it bears all at once.
    pub cold_start: Option<ColdStart>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request's head must come.
    pub header_timeout: Span,
    /// Time that a connection may rest.
    pub idle_timeout: Span,
}

/// Limits before any configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout: Span::secs(3),
    idle_timeout: Span::secs(15),
};

impl Default for Limits {
    fn default() -> Limits {
        DEFAULT_LIMITS
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
    pub requires_key: bool,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<String, Rc<KeyHolder>>,
    pools: HashMap<Service, Rc<Pool>>,
}

impl Table {
    /// A table without routes.
    pub fn new(revision: Revision, limits: Limits, requires_key: bool) -> Table {
        Table { revision, limits, requires_key, ..Table::default() }
    }

    /// Adds a route of a host.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        // Longest first, so that the first that fits is the right one.
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Adds a key of a workspace.
    pub fn add_key(&mut self, key: &str, holder: Rc<KeyHolder>) {
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
    pub fn key_holder(&self, key: &str) -> Option<&Rc<KeyHolder>> {
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
