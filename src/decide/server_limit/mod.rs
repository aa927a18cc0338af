//! Limits of backend servers: how fast all VMs together send requests to one incarnation of a
//! server, and how many it may have at a time ([`places`]).
//!
//! A server that is cold (has just started), or advertises a limit in its response headers, fails
//! or slows down above some requests per second. Its short queue makes every VM choose the server
//! at the same moment, and an even share among hundreds of VMs is less than one request, which all
//! of them may still send at once. So only a few VMs, the *senders*, which each VM computes alike,
//! may send to such a server, each at a fixed interval in its *send slots*.

pub mod loans;
pub mod places;

use std::fmt;

use crate::unit::hash::mix;
use crate::unit::{Moment, Rate, Span};

/// Factor on the time between two requests of a sender: the latency of responses and of new
/// connections shifts the arrival of two requests by some milliseconds.
const INTERVAL_MARGIN: f64 = 1.05;

/// Window in which a server gets at most the advertised rate times the length of the window. Users
/// verify limits over windows of this length.
pub const LIMIT_WINDOW: Span = Span::secs(4);

/// Minimum rate. A server that advertises a lower one, or zero, still gets one request in ten
/// seconds, so that its response can end the limit.
const MIN_RATE: Rate = Rate(0.1);

/// Maximum rate; a server that advertises a higher one counts as unlimited.
const MAX_RATE: Rate = Rate(1e6);

/// Fraction of the requests per window that may be given up by rounding, so that more VMs can be
/// senders.
const MAX_UNUSED: f64 = 0.05;

/// Time after which a limit that was not observed again expires: the message that the limit ended
/// may have been lost.
const LIMIT_TTL: Span = Span::secs(40);

/// A limit is announced to all VMs again after this time, so that it stays in force at VMs that
/// send no requests to the server.
const REANNOUNCE_INTERVAL: Span = Span::secs(15);

/// Relative change of a server's limit above which the new rate is announced to other VMs. A
/// decrease is announced at once, since other VMs may be sending too much; an increase waits until
/// [`MIN_INCREASE_INTERVAL`] after the last announcement.
const MIN_CHANGE: f64 = 0.1;

/// Minimum time between two announcements of which the second increases the rate.
const MIN_INCREASE_INTERVAL: Span = Span::millis(500);

/// Rate of requests that a server accepts from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate.
    pub rate: Rate,
    /// In any window of this length at most `rate` times the length are sent, or one request.
    pub window: Span,
}

impl RateLimit {
    /// Returns the limit of a server that advertises `rate` in its response headers.
    pub fn advertised(rate: Rate) -> RateLimit {
        RateLimit { rate: Rate(rate.0.clamp(MIN_RATE.0, MAX_RATE.0)), window: LIMIT_WINDOW }
    }

    /// Returns the limit that satisfies both limits.
    pub fn strictest(self, other: RateLimit) -> RateLimit {
        let rate = Rate(self.rate.0.min(other.rate.0));
        RateLimit { rate, window: self.window.min(other.window) }
    }
}

/// Division of a server's rate limit among its senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Number of VMs that may send to the server.
    pub senders: usize,
    /// Time between two requests of one sender.
    pub interval: Span,
}

impl Share {
    /// Divides `limit` among `vms`. In any window the senders together send at most what the limit
    /// allows, or one request. The largest number of senders that uses nearly all of the limit is
    /// chosen, so that few VMs are left without a share for their callers.
    pub fn new(limit: &RateLimit, vms: usize) -> Share {
        let rate = limit.rate.0.clamp(MIN_RATE.0, MAX_RATE.0);
        let window = limit.window.as_secs();
        let whole = ((rate * window) as usize).max(1);
        let used = |senders: usize| (whole / senders * senders) as f64;
        let enough = |senders: &usize| used(*senders) >= whole as f64 * (1.0 - MAX_UNUSED);
        let senders = (1..=vms.clamp(1, whole)).rev().find(enough).unwrap_or(1);
        let each = (whole / senders) as f64;
        let interval = (INTERVAL_MARGIN * window / each).max(senders as f64 / rate);
        Share { senders, interval: Span((interval * 1e6) as u64) }
    }

    /// Returns the share of a VM that uses these parts (0 to 1) of its own share in `limit` and of
    /// those of other senders; none if that is not one request in a window.
    ///
    /// Parts of one sender's share are rounded so that they add up to no more than the share.
    pub fn with_parts(self, limit: &RateLimit, own: f64, borrowed: &[f64]) -> Option<Share> {
        let rate = limit.rate.0.clamp(MIN_RATE.0, MAX_RATE.0);
        let window = limit.window.as_secs();
        let whole = ((rate * window) as usize).max(1);
        let each = (whole / self.senders.max(1)).max(1) as f64;
        let borrowed: f64 = borrowed.iter().map(|part| (each * part).floor()).sum();
        let used = (each * own).ceil() + borrowed;
        if used < 1.0 {
            return None;
        }
        let full = self.senders as f64 / rate * each / used;
        let interval = (INTERVAL_MARGIN * window / used).max(full);
        Some(Share { interval: Span((interval * 1e6) as u64), ..self })
    }
}

/// Returns true if this VM is a sender of a server: the senders are the VMs with the highest
/// rendezvous weights for that server. `server`, `own` and `others` are hashes of the names of the
/// server, this VM and the other VMs. VMs that know different members disagree about few servers.
pub fn is_sender(share: &Share, server: u64, own: u64, others: &[u64]) -> bool {
    let own = mix(server, own);
    let higher = others.iter().filter(|other| mix(server, **other) > own);
    higher.take(share.senders).count() < share.senders
}

/// A reserved send slot, with the state that releasing it restores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Time at which the request may be sent.
    pub send_at: Moment,
    /// Last slot before the reserved one.
    previous: Option<Moment>,
}

/// Send slots of one VM at one rate-limited server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Time of the last slot in which a request was or will be sent.
    last: Option<Moment>,
}

impl Pacer {
    /// Returns the time of the next free send slot.
    pub fn next_send(&self, share: &Share, now: Moment) -> Moment {
        self.last.map_or(now, |last| now.max(last + share.interval))
    }

    /// Reserves the next free send slot.
    pub fn reserve(&mut self, share: &Share, now: Moment) -> Reservation {
        let reservation = Reservation { send_at: self.next_send(share, now), previous: self.last };
        self.last = Some(reservation.send_at);
        reservation
    }

    /// Records that a request was sent in its reserved slot. The next slot follows the interval
    /// after this time, as opening a connection may have delayed the request.
    pub fn on_send(&mut self, now: Moment) {
        self.last = self.last.max(Some(now));
    }

    /// Releases a reserved slot in which nothing was sent. The slot is lost if a later one is
    /// already reserved.
    pub fn release(&mut self, reservation: Reservation) {
        if self.last == Some(reservation.send_at) {
            self.last = reservation.previous;
        }
    }
}

/// The rate limit that a server advertises in the headers of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitHeader {
    /// The response has no limit header.
    #[default]
    Absent,
    /// The value of the header is not a rate.
    Invalid,
    /// The server accepts this rate from all VMs together.
    Present(Rate),
}

/// State of a server's rate limit at one moment, as VMs send it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Update {
    /// The advertised rate, or none if the limit ended.
    pub rate: Option<Rate>,
    /// When the limit was observed. For the end of a limit, when the request was sent whose
    /// response had no limit header.
    pub as_of: Moment,
}

/// VMs that an update is sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Recipients {
    /// All VMs, each of which forwards it.
    All,
    /// The VMs that are senders of the server at the previous or at the new rate: other VMs have no
    /// share at either rate, so nothing changes for them.
    Senders([Rate; 2]),
}

/// Returns how many of `vms` VMs may be senders at one of two rates. The lower rate may have more
/// senders.
pub fn max_senders(rates: [Rate; 2], vms: usize) -> usize {
    let senders = rates.map(|rate| Share::new(&RateLimit::advertised(rate), vms).senders);
    senders[0].max(senders[1])
}

/// The limit of a server that was last announced to other VMs.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    rate: Option<Rate>,
    /// Time of the last announcement to any VMs.
    at: Moment,
    /// Time of the last announcement to all VMs.
    to_all_at: Moment,
}

/// What one VM knows of the rate limit of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLimit {
    known: Option<Update>,
    /// Time since which a limit has been known without interruption.
    limited_since: Option<Moment>,
    /// The limit that other VMs know, as far as this VM announced it to them or received it from
    /// them.
    announced: Option<Announcement>,
}

impl KnownLimit {
    /// Applies the limit header of a response to a request that was sent at `sent_at`. Returns true
    /// if that changes the limit. A response without the header ends the limit only if its request
    /// was sent after the limit was observed, since responses overtake each other.
    pub fn observe(&mut self, header: LimitHeader, sent_at: Moment, now: Moment) -> bool {
        match (header, self.known) {
            (LimitHeader::Present(rate), _) => {
                self.apply(Update { rate: Some(rate), as_of: now }, now)
            }
            (LimitHeader::Absent, Some(known)) if sent_at > known.as_of => {
                self.apply(Update { rate: None, as_of: sent_at }, now)
            }
            (LimitHeader::Absent | LimitHeader::Invalid, _) => false,
        }
    }

    /// Applies an update from another VM if the update is newer than what is known. Returns true if
    /// this VM must forward the update to all VMs: if a limit starts or ends, or if half of
    /// `REANNOUNCE_INTERVAL` has passed since the last announcement to all VMs. Half, since VMs
    /// measure that time slightly differently.
    pub fn merge(&mut self, update: Update, now: Moment) -> bool {
        if self.known.is_some_and(|known| known.as_of >= update.as_of) {
            return false;
        }
        self.apply(update, now);
        let forwards = self.recipients(REANNOUNCE_INTERVAL.half(), now) == Some(Recipients::All);
        self.record_announcement(forwards, now);
        forwards
    }

    /// Replaces the known limit. Returns true if the rate in force changes.
    fn apply(&mut self, update: Update, now: Moment) -> bool {
        let previous = self.rate(now);
        self.known = Some(update);
        let continues = previous.is_some() && update.rate.is_some();
        if !continues {
            self.limited_since = update.rate.map(|_| now);
        }
        previous != self.rate(now)
    }

    /// Returns the update to announce now and its recipients, if any, and records it as announced.
    pub fn next_announcement(&mut self, now: Moment) -> Option<(Update, Recipients)> {
        let recipients = self.recipients(REANNOUNCE_INTERVAL, now)?;
        self.record_announcement(recipients == Recipients::All, now);
        Some((self.known?, recipients))
    }

    /// Records that the known limit was announced now, to all VMs or to some.
    fn record_announcement(&mut self, all: bool, now: Moment) {
        let rate = self.known.and_then(|known| known.rate);
        let previous = self.announced.filter(|_| !all);
        let to_all_at = previous.map_or(now, |announced| announced.to_all_at);
        self.announced = Some(Announcement { rate, at: now, to_all_at });
    }

    /// Returns the VMs whose information about the limit is outdated or about to expire, or none.
    /// These are all VMs if nothing was announced to all of them for `every`.
    fn recipients(&self, every: Span, now: Moment) -> Option<Recipients> {
        let known = self.known?.rate;
        let Some(announced) = self.announced else { return known.map(|_| Recipients::All) };
        let (known, previous) = match (known, announced.rate) {
            (None, None) => return None,
            (Some(known), Some(previous)) => (known, previous),
            (Some(_), None) | (None, Some(_)) => return Some(Recipients::All),
        };
        if now.since(announced.to_all_at) >= every {
            return Some(Recipients::All);
        }
        let fell = known.0 < previous.0 * (1.0 - MIN_CHANGE);
        let rose = known.0 > previous.0 * (1.0 + MIN_CHANGE)
            && now.since(announced.at) >= MIN_INCREASE_INTERVAL;
        (fell || rose).then_some(Recipients::Senders([previous, known]))
    }

    /// Returns the advertised rate, or none if the server has no limit or the limit expired.
    pub fn rate(&self, now: Moment) -> Option<Rate> {
        let known = self.known.filter(|known| now.since(known.as_of) < LIMIT_TTL)?;
        known.rate
    }

    /// Returns how long a limit has been known without interruption.
    pub fn limited_for(&self, now: Moment) -> Option<Span> {
        self.limited_since.map(|since| now.since(since))
    }
}

/// Reason for withholding a request from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Throttled {
    /// This VM has no send slot at the rate-limited server now.
    Rate(RateLimit),
    /// All places of this VM at the brittle server are taken.
    Places(usize),
}

impl fmt::Display for Throttled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Throttled::Rate(limit) => write!(
                f,
                "the server is limited to {} from all VMs, and this VM has no send slot now",
                limit.rate
            ),
            Throttled::Places(places) => {
                write!(f, "the server is brittle, and this VM's {places} places are taken")
            }
        }
    }
}
