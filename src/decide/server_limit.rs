//! How fast one life of a backend server is sent requests, by all VMs together.
//!
//! A server that is cold, or names a limit, bears some requests a second and fails or slows down above that. Its short queue draws every
//! VM at the same moment, and an even part for each of hundreds of VMs is less than one request, which all may send at once. So a few
//! VMs, which all work out alike, may send to it, each in turns.

use std::fmt;

use crate::unit::hash::mix;
use crate::unit::{Moment, Rate, Span};

/// Turns of one VM are so much further apart than they need be: an answer, or a connection that opens slowly, moves the arrival of two
/// requests by some milliseconds.
const APART: f64 = 1.05;

/// Limits are kept over any such time, as the users judge them.
pub const LIMIT_WINDOW: Span = Span::secs(4);

/// A server that names less, or nought, still gets a request in ten seconds, so that it can say when that is over.
const LEAST: Rate = Rate(0.1);

/// A server that names more takes anything.
const MOST: Rate = Rate(1e6);

/// Part of what one sender would use that is given up for more of them.
const FOR_MORE: f64 = 0.05;

/// A limit of which nothing was heard for so long holds no longer: the word that it is over may have been lost.
const HOLDS: Span = Span::secs(40);

/// A limit is told to all again after so long, so that it holds at VMs that send nothing there.
const TOLD_EVERY: Span = Span::secs(15);

/// A change of the rate is told if it is by more than this part of it: a fall at once, since others may be sending too much, a rise no sooner after
/// the last word than this.
const CHANGE: f64 = 0.1;
const RISES_APART: Span = Span::millis(500);

/// Requests that a server bears, from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// In the long run.
    pub rate: Rate,
    /// Any such time holds no more than the rate allows for it, or one.
    pub window: Span,
}

impl RateLimit {
    /// The bound of a server that names a limit.
    pub fn advertised(rate: Rate) -> RateLimit {
        RateLimit { rate: Rate(rate.0.clamp(LEAST.0, MOST.0)), window: LIMIT_WINDOW }
    }

    /// What keeps both.
    pub fn strictest(self, other: RateLimit) -> RateLimit {
        let rate = Rate(self.rate.0.min(other.rate.0));
        RateLimit { rate, window: self.window.min(other.window) }
    }
}

/// How a bound is parted among VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// VMs that send to the server.
    pub senders: usize,
    /// Time between two requests of one of them.
    pub interval: Span,
}

impl Share {
    /// The parts of so many VMs. In any window the senders together reach at most what the bound allows, or one request. The largest
    /// number of senders that uses most of it is taken, so that few VMs have no part for their callers.
    pub fn new(bound: &RateLimit, vms: usize) -> Share {
        let rate = bound.rate.0.clamp(LEAST.0, MOST.0);
        let window = bound.window.as_secs();
        let whole = ((rate * window) as usize).max(1);
        let used = |senders: usize| (whole / senders * senders) as f64;
        let enough = |senders: &usize| used(*senders) >= whole as f64 * (1.0 - FOR_MORE);
        let senders = (1..=vms.clamp(1, whole)).rev().find(enough).unwrap_or(1);
        let each = (whole / senders) as f64;
        let gap = (APART * window / each).max(senders as f64 / rate);
        Share { senders, interval: Span((gap * 1e6) as u64) }
    }
}

/// Whether a VM is among the senders to a server, given the hashes of their names: those with the highest weights for
/// that server. VMs that do not know of each other differ in few servers.
pub fn is_sender(part: &Share, server: u64, own: u64, others: &[u64]) -> bool {
    let own = mix(server, own);
    let before = others.iter().filter(|other| mix(server, **other) > own);
    before.take(part.senders).count() < part.senders
}

/// A turn that was taken, with what gives it back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When the turn is.
    pub at: Moment,
    before: Option<Moment>,
}

/// One VM's turns at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    last: Option<Moment>,
}

impl Pacer {
    /// When the next turn is.
    pub fn next_send(&self, part: &Share, now: Moment) -> Moment {
        self.last.map_or(now, |last| now.max(last + part.interval))
    }

    /// Takes the next turn.
    pub fn reserve(&mut self, part: &Share, now: Moment) -> Reservation {
        let ticket = Reservation { at: self.next_send(part, now), before: self.last };
        self.last = Some(ticket.at);
        ticket
    }

    /// A request leaves on its turn: the next one counts from then, as a connection may have taken a while to open.
    pub fn on_send(&mut self, now: Moment) {
        self.last = self.last.max(Some(now));
    }

    /// Nothing was sent on a turn. If others were taken since, it is lost.
    pub fn release(&mut self, ticket: Reservation) {
        if self.last == Some(ticket.at) {
            self.last = ticket.before;
        }
    }
}

/// What the head of one answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitHeader {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no rate.
    Invalid,
    /// Requests a second from all VMs together.
    Present(Rate),
}

/// What is known of a limit at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Update {
    /// The limit, if there is one.
    pub rate: Option<Rate>,
    /// When that was heard; of the end of a limit, when the request was sent whose answer told it.
    pub as_of: Moment,
}

/// Who is to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Recipients {
    /// All VMs, each of which passes it on.
    All,
    /// The senders to a server that named the one rate and names the other: nothing changes for VMs that have no part of either.
    Senders([Rate; 2]),
}

/// How many VMs of so many have a part of a limit of either rate. Less may have more senders.
pub fn max_senders(rates: [Rate; 2], vms: usize) -> usize {
    let senders = rates.map(|rate| Share::new(&RateLimit::advertised(rate), vms).senders);
    senders[0].max(senders[1])
}

/// What other VMs were told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    rate: Option<Rate>,
    /// When that was, and when all were told something.
    at: Moment,
    all_at: Moment,
}

/// What one VM knows of the limit of one life of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    known: Option<Update>,
    /// Since when a limit is known without a break.
    since: Option<Moment>,
    /// What the other VMs know, as far as this one told them or heard it from them.
    told: Option<Told>,
}

impl Limit {
    /// Takes what the head of an answer says to a request that was sent at `asked`. Whether that changes the limit. An answer without one ends
    /// it only if its request was sent after the limit was heard: answers overtake each other.
    pub fn observe(&mut self, word: LimitHeader, asked: Moment, now: Moment) -> bool {
        match (word, self.known) {
            (LimitHeader::Present(rate), _) => {
                self.learn(Update { rate: Some(rate), as_of: now }, now)
            }
            (LimitHeader::Absent, Some(known)) if asked > known.as_of => {
                self.learn(Update { rate: None, as_of: asked }, now)
            }
            (LimitHeader::Absent | LimitHeader::Invalid, _) => false,
        }
    }

    /// Takes what another VM says, if that is newer than what is known. Whether it is news to pass on to all: what all were told a while ago is,
    /// since each VM counts that time a little differently.
    pub fn merge(&mut self, news: Update, now: Moment) -> bool {
        if self.known.is_some_and(|known| known.as_of >= news.as_of) {
            return false;
        }
        self.learn(news, now);
        let passes_on = self.audience(TOLD_EVERY.half(), now) == Some(Recipients::All);
        self.note_told(passes_on, now);
        passes_on
    }

    fn learn(&mut self, news: Update, now: Moment) -> bool {
        let before = self.rate(now);
        self.known = Some(news);
        let goes_on = before.is_some() && news.rate.is_some();
        if !goes_on {
            self.since = news.rate.map(|_| now);
        }
        before != self.rate(now)
    }

    /// What other VMs are to be told now, if anything, and who; they then know it.
    pub fn next_announcement(&mut self, now: Moment) -> Option<(Update, Recipients)> {
        let audience = self.audience(TOLD_EVERY, now)?;
        self.note_told(audience == Recipients::All, now);
        Some((self.known?, audience))
    }

    fn note_told(&mut self, all: bool, now: Moment) {
        let rate = self.known.and_then(|known| known.rate);
        let before = self.told.filter(|_| !all);
        let all_at = before.map_or(now, |told| told.all_at);
        self.told = Some(Told { rate, at: now, all_at });
    }

    /// Who knows something else, or may soon forget: all, if they were told nothing for `every`.
    fn audience(&self, every: Span, now: Moment) -> Option<Recipients> {
        let known = self.known?.rate;
        let Some(told) = self.told else { return known.map(|_| Recipients::All) };
        let (known, before) = match (known, told.rate) {
            (None, None) => return None,
            (Some(known), Some(before)) => (known, before),
            (Some(_), None) | (None, Some(_)) => return Some(Recipients::All),
        };
        if now.since(told.all_at) >= every {
            return Some(Recipients::All);
        }
        let fell = known.0 < before.0 * (1.0 - CHANGE);
        let rose = known.0 > before.0 * (1.0 + CHANGE) && now.since(told.at) >= RISES_APART;
        (fell || rose).then_some(Recipients::Senders([before, known]))
    }

    /// The limit, if there is one.
    pub fn rate(&self, now: Moment) -> Option<Rate> {
        let known = self.known.filter(|known| now.since(known.as_of) < HOLDS)?;
        known.rate
    }

    /// How long ago it was named first.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.since.map(|since| now.since(since))
    }
}

/// Why a request that was to leave for a server may not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttled(pub RateLimit);

impl fmt::Display for Throttled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "it bears {} from all VMs, and it is not this one's turn", self.0.rate)
    }
}
