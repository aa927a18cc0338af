//! Bounds on the age of what a VM knows of the platform's objects, and the intervals and timeouts
//! that keep it within them.
//!
//! Each kind of objects has a bound: the time after a change from which every VM acts on it. A
//! *reader* (a VM that reads the platform's store itself) repeats its reads so often that its state
//! stays within the bound while one of its connections is silent. A *follower* (a VM that polls
//! another one) reads the store itself before its state gets too old.

use super::reader::{MAX_HOPS, POLL_INTERVAL};
use crate::unit::Span;

/// Longest wait of a watch for changes. The store allows 30 s, but an answer may be lost without an
/// error, and then no change arrives for that long.
const MAX_WATCH_WAIT: Span = Span::secs(6);

/// Delay of the next watch after changes, so that those of one cause arrive in one response.
const CHANGE_BATCH_DELAY: Span = Span::millis(250);

/// Time for a response of the store, which usually takes some milliseconds.
pub const RESPONSE_TIMEOUT: Span = Span::millis(1200);

/// Time for a response where there must be time left to repeat the read on another connection.
pub const SHORT_RESPONSE_TIMEOUT: Span = Span::millis(800);

/// Longest delay between a read that failed and the next attempt, after the first failure.
pub const FIRST_RETRY_DELAY: Span = Span::millis(150);

/// Time that a read takes if nothing is wrong, with a new connection.
const READ_TIME: Span = Span::millis(100);

/// Time until a VM that reads the store itself has all kinds: it probes a store that others report
/// as lost, proves the configuration, and reads the other kinds.
const FIRST_READS_TIME: Span = Span(3 * READ_TIME.0);

/// Time that a poll between VMs takes if nothing is wrong.
const POLL_TIME: Span = Span::millis(50);

/// Interval of the polls for changes of servers, as a fraction of their bound. Servers are polled
/// because a watch that waits does not show that its connection still works.
const SERVERS_INTERVAL_FRACTION: f64 = 0.3;

/// Longest wait of a watch, as a fraction of the bound of its kind.
const WATCH_WAIT_FRACTION: f64 = 0.4;

/// Interval of a reader's proofs, as a fraction of the bound of the configuration.
const PROOF_INTERVAL_FRACTION: f64 = 0.45;

/// Shortest interval of a reader's proofs, as a fraction of the bound of the configuration. A bound
/// so short that it does not hold over the largest number of hops is no reason for more of them.
const MIN_PROOF_INTERVAL_FRACTION: f64 = 0.2;

/// Age at which a reader renews its proof, as a fraction of the age up to which keys may be used.
/// Followers use keys by the reader's proofs, and need time to replace a reader that is gone.
const READER_KEY_PROOF_FRACTION: f64 = 0.35;

/// Age at which a follower that gets no newer proof makes one, as a fraction of the age up to which
/// keys may be used.
const FOLLOWER_KEY_PROOF_FRACTION: f64 = 0.7;

/// Maximum age of server data that a VM forwards to followers, as a fraction of the bound of a
/// follower's contact. With a smaller fraction most VMs read the store themselves when the store
/// delays a request for a second.
pub const MAX_FORWARDED_AGE_FRACTION: f64 = 0.65;

/// Age of a follower's server data, as a fraction of the bound of its contact, at which it reads the
/// store itself, even if a source may still answer: a read of the store takes some milliseconds.
pub const READ_STORE_AGE_FRACTION: f64 = 0.8;

/// Times after a change from which every VM must act on it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bound of the configuration.
    pub config: Span,
    /// Bound of the entries of backend servers.
    pub servers: Span,
    /// Bound of the orders to roll out versions.
    pub rollouts: Span,
    /// Bound of the orders to evacuate a data centre.
    pub evacuations: Span,
    /// Age of a proof up to which requests with a key may be forwarded; `None` if any proof does.
    pub key_proof: Option<Span>,
}

impl Bounds {
    fn shortest(&self) -> Span {
        self.config.min(self.servers).min(self.rollouts).min(self.evacuations)
    }
}

/// How a reader keeps its state of one kind of objects current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Minimum time between the starts of two reads, if the first brought changes or did not wait
    /// for any.
    pub interval: Span,
    /// Time that the store may wait for a change before it answers a read.
    pub wait: Span,
    /// Time after `wait` at which a read without an answer fails. It is repeated on a new
    /// connection.
    pub timeout: Span,
    /// Interval of further reads of the same state, which use another connection; `None` if there
    /// are none.
    pub proofs: Option<Span>,
}

impl Schedule {
    /// Returns the schedule of a kind that is watched, with a bound or without.
    fn watched(bound: Option<Span>) -> Schedule {
        let wait = bound.map_or(MAX_WATCH_WAIT, |bound| bound.mul_f64(WATCH_WAIT_FRACTION));
        Schedule {
            interval: CHANGE_BATCH_DELAY,
            wait: wait.min(MAX_WATCH_WAIT),
            timeout: RESPONSE_TIMEOUT,
            proofs: None,
        }
    }

    /// Returns the largest age of a reader's state while one of its connections is silent: a change
    /// comes just after a read was answered, and the next answer is lost.
    pub fn max_age(&self) -> Span {
        let repeated = self.interval + self.wait + self.timeout + FIRST_RETRY_DELAY + READ_TIME;
        self.proofs.map_or(repeated, |interval| repeated.min(interval + READ_TIME))
    }
}

/// How the state of all kinds is kept current.
#[derive(Clone, Copy, Debug)]
pub struct Schedules {
    bounds: Bounds,
    proof_interval: Span,
    /// Schedule of the configuration.
    pub config: Schedule,
    /// Schedule of the entries of backend servers.
    pub servers: Schedule,
    /// Schedule of the orders to roll out versions.
    pub rollouts: Schedule,
    /// Schedule of the orders to evacuate a data centre.
    pub evacuations: Schedule,
    /// Schedule of the registrations of VMs, which have no bound.
    pub vms: Schedule,
}

impl Schedules {
    /// Returns the schedules that keep all kinds within their bounds.
    pub fn new(bounds: Bounds) -> Schedules {
        let to_arrive = READ_TIME + poll_time(MAX_HOPS);
        let to_deny = bounds.config.mul_f64(PROOF_INTERVAL_FRACTION);
        let to_deny = Span(bounds.config.0.saturating_sub(to_arrive.0))
            .clamp(bounds.config.mul_f64(MIN_PROOF_INTERVAL_FRACTION), to_deny);
        let to_use_keys = bounds.key_proof.map(|age| age.mul_f64(READER_KEY_PROOF_FRACTION));
        let proof_interval = to_use_keys.map_or(to_deny, |interval| interval.min(to_deny));
        let servers = Schedule {
            interval: bounds.shortest().mul_f64(SERVERS_INTERVAL_FRACTION),
            wait: Span(0),
            timeout: SHORT_RESPONSE_TIMEOUT,
            proofs: None,
        };
        Schedules {
            bounds,
            proof_interval,
            config: Schedule { proofs: Some(proof_interval), ..Schedule::watched(None) },
            servers,
            rollouts: Schedule::watched(Some(bounds.rollouts)),
            evacuations: Schedule::watched(Some(bounds.evacuations)),
            vms: Schedule::watched(None),
        }
    }

    /// Returns the bound of the time since a follower's last contact with a VM that had current
    /// state: the shortest of all, since an update carries all kinds.
    pub fn contact_bound(&self) -> Span {
        self.bounds.shortest()
    }

    /// Returns the age at which a reader renews its proof of the configuration.
    pub fn reader_proof_interval(&self) -> Span {
        self.proof_interval
    }

    /// Returns the age at which a follower that gets no newer proof makes one; `None` if it makes
    /// proofs only on request.
    pub fn follower_proof_interval(&self) -> Option<Span> {
        self.bounds.key_proof.map(|age| age.mul_f64(FOLLOWER_KEY_PROOF_FRACTION))
    }

    /// Returns the maximum age of server data that a VM forwards to followers.
    pub fn max_forwarded_age(&self) -> Span {
        self.contact_bound().mul_f64(MAX_FORWARDED_AGE_FRACTION)
    }

    /// Returns the age of its server data at which a follower reads the store itself. Each update
    /// has all kinds, so this bounds the time without contact too.
    pub fn max_followed_age(&self) -> Span {
        self.contact_bound().mul_f64(READ_STORE_AGE_FRACTION)
    }

    /// Returns the largest age of a follower's server data, whatever other VMs answer, and if they
    /// don't: it reads the store itself at a certain age.
    pub fn max_servers_age(&self) -> Span {
        self.max_followed_age() + FIRST_READS_TIME
    }

    /// Returns the largest age of a follower's state of a kind other than servers, `hops` VMs from
    /// the store, while one connection on the way is silent. If it is one of the reader's, each hop
    /// adds a poll. If it is a connection between VMs, the reader's state is current, and the
    /// follower has it after a poll of another VM, or when it reads the store itself.
    pub fn max_follower_age(&self, schedule: &Schedule, hops: u8) -> Span {
        (schedule.max_age() + poll_time(hops)).max(self.max_servers_age())
    }
}

/// Returns the longest time that state takes over this number of polls if nothing is wrong.
fn poll_time(hops: u8) -> Span {
    Span((POLL_INTERVAL + POLL_TIME).0 * u64::from(hops))
}
