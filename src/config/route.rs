//! Routes: the service that handles a request, its deadline, its retries and its limits.

use std::collections::HashMap;
use std::rc::Rc;

use crate::decide::cold_start::ColdStart;
use crate::unit::{Model, Region, Revision, Service, Span, Workspace};

/// The rule for retries of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once, so it may be retried after any failure.
    Safe,
    /// A request may run at most once.
    Never,
    /// The response is a stream of events, which another server can resume.
    Resume,
}

/// A service of a route, with its weight in the split of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Service,
    /// Weight, relative to the sum of the route's weights.
    pub weight: f64,
}

/// The regions in which a request may be processed; empty if all are allowed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Regions(Vec<Region>);

impl Regions {
    /// Allows these regions only, or any region if the list is empty.
    pub fn new(regions: Vec<Region>) -> Regions {
        Regions(regions)
    }

    /// Returns true if a region is allowed; an unknown region is allowed only if all are.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// A route: rules for the requests of a host whose paths share a prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name for metrics and logs.
    pub name: String,
    /// Prefix of the paths to which it applies.
    pub prefix: String,
    /// Services that handle its requests, split by weight.
    pub services: Vec<WeightedService>,
    /// Rule for retries.
    pub retry: RetryPolicy,
    /// True if responses are streams of events.
    pub is_streaming: bool,
    /// Longest time that a request may take.
    pub timeout: Span,
    /// Latency goal for the response or, for a stream, its first event.
    pub latency_goal: Span,
    /// Most servers to which one request is sent.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// True if requests need no API key.
    pub is_public: bool,
    /// Regions in which its requests may be processed.
    pub regions: Regions,
    /// Models of a cascade, smallest first; empty if the caller names a model.
    pub cascade: Vec<Model>,
}

impl Route {
    /// Selects the service for a request by weight; `point` is a random number from 0 to 1. Returns
    /// none if no service has a weight above 0.
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

/// The workspace that holds an API key, with the rules for its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// Priority, compared before that of the route; 0 is the highest.
    pub priority: u32,
    /// Regions in which its requests may be processed; those of the route apply as well.
    pub regions: Regions,
}

/// Settings of the servers of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Most connections to one server, from all VMs together.
    pub max_connections: u32,
    /// Rate limit of a server that has just started; none if it accepts the full rate at once.
    pub cold_start: Option<ColdStart>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for the head of a request.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

/// Limits until a configuration is known.
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

/// All routes, API keys and services of one revision.
#[derive(Debug, Default)]
pub struct Table {
    /// Revision number that the operator gave to the configuration; it only increases.
    pub revision: Revision,
    /// Limits on what callers send.
    pub limits: Limits,
    /// True if requests need an API key, except on public routes.
    pub requires_key: bool,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<String, Rc<KeyHolder>>,
    pools: HashMap<Service, Rc<Pool>>,
}

impl Table {
    /// Creates a table without routes, keys and services.
    pub fn new(revision: Revision, limits: Limits, requires_key: bool) -> Table {
        Table { revision, limits, requires_key, ..Table::default() }
    }

    /// Adds a route of a host; host names are not case-sensitive.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        // Longest prefix first, so that the first match is the most specific route.
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Adds an API key and its holder.
    pub fn add_key(&mut self, key: &str, holder: Rc<KeyHolder>) {
        self.keys.insert(key.to_owned(), holder);
    }

    /// Adds the settings of a service.
    pub fn add_pool(&mut self, service: Service, pool: Pool) {
        self.pools.insert(service, Rc::new(pool));
    }

    /// Returns the route of `host` with the longest prefix that matches `path`; a port in `host` is
    /// ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the holder of an API key.
    pub fn key_holder(&self, key: &str) -> Option<&Rc<KeyHolder>> {
        self.keys.get(key)
    }

    /// Returns the settings of a service.
    pub fn pool(&self, service: &Service) -> Option<&Rc<Pool>> {
        self.pools.get(service)
    }

    /// Returns the routes of all hosts, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}
