//! Which replica takes a request, from late reports and what this VM sent itself.

use crate::unit::hash::mix;
use crate::unit::{Moment, Span};

/// A report loses half of its weight in this time: other VMs have acted on it since.
const HALF_LIFE: Span = Span::millis(400);

/// What a kept prefix is worth, in the same unit as `cost`.
const AFFINITY: f64 = 0.6;

/// Load, in shares of the slots, from which a request may have to wait.
const NEARLY_FULL: f64 = 0.94;

/// Cost of load past that: waiting costs much, sharing a batch little.
const WAITING: f64 = 6.0;
const SHARING: f64 = 0.25;

/// Replicas that a prefix may be spread over before it counts as anywhere.
const HOMES: usize = 3;

/// What the next home of a prefix is worth, compared with the one before.
const RANKED: f64 = 0.7;

/// Replicas drawn beside a prefix's homes.
const DRAWN: usize = 3;

/// A failing replica is left alone for this long.
const BACK_OFF: Span = Span::millis(1500);

/// What one VM knows of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Replica {
    /// Stable number, for the rendezvous of prefixes.
    pub id: u64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Requests running and waiting by its last report.
    pub reported: f64,
    /// When the report was made.
    pub reported_at: Moment,
    /// This VM's own requests there now.
    pub own: f64,
    /// This VM's own requests there when the report was made.
    pub own_at_report: f64,
    /// Whether it may get new work.
    pub accepting: bool,
    /// When a request last failed there without having run.
    pub failed_at: Option<Moment>,
    /// One-way latency to it.
    pub latency: Span,
}

impl Replica {
    /// An open replica of which nothing is reported yet.
    pub fn idle(id: u64, slots: f64) -> Replica {
        Replica {
            id,
            slots,
            reported: 0.0,
            reported_at: Moment(0),
            own: 0.0,
            own_at_report: 0.0,
            accepting: true,
            failed_at: None,
            latency: Span(0),
        }
    }

    /// Whether new work may go there now.
    pub fn usable(&self, now: Moment) -> bool {
        self.accepting && self.failed_at.is_none_or(|at| now.since(at) >= BACK_OFF)
    }

    /// Expected load in shares of its slots; `mean` is that of all.
    fn load(&self, mean: f64, now: Moment) -> f64 {
        let age = now.since(self.reported_at).as_secs() / HALF_LIFE.as_secs();
        let trust = 0.5f64.powf(age);
        let since = (self.own - self.own_at_report).max(0.0);
        let believed = trust * self.reported / self.slots + (1.0 - trust) * mean;
        believed.max(self.own / self.slots) + since / self.slots
    }
}

/// What a load costs its next request.
fn cost(load: f64) -> f64 {
    load * SHARING + (load - NEARLY_FULL).max(0.0) * WAITING
}

/// The homes of a prefix: the highest of a rendezvous among usable replicas.
fn homes(replicas: &[Replica], prefix: u64, now: Moment) -> [Option<usize>; HOMES] {
    let mut best = [(0, None); HOMES];
    for (i, replica) in replicas.iter().enumerate() {
        if !replica.usable(now) {
            continue;
        }
        let mut entry = (mix(prefix, replica.id), Some(i));
        for place in &mut best {
            if entry.0 > place.0 || place.1.is_none() {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    best.map(|place| place.1)
}

/// The replica for a request; `prefix` is a digest of its prompt's beginning, if it has one, and
/// `point` a random number of its own.
pub fn choose(replicas: &[Replica], prefix: Option<u64>, point: u64, now: Moment) -> Option<usize> {
    let mean = mean(replicas);
    let mut best: Option<(f64, usize)> = None;
    let mut weigh = |i: usize, bonus: f64| {
        let replica = &replicas[i];
        let far = replica.latency.as_secs() * 10.0;
        // A tie is broken by chance, or every VM would break it alike.
        let chance = (mix(point, i as u64) >> 40) as f64 / (1u64 << 24) as f64 * 1e-3;
        let score = cost(replica.load(mean, now)) + far + chance - bonus;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, i));
        }
    };
    if let Some(prefix) = prefix {
        for (rank, home) in homes(replicas, prefix, now).into_iter().enumerate() {
            if let Some(home) = home {
                weigh(home, AFFINITY * RANKED.powi(rank as i32));
            }
        }
    }
    let mut drawn = 0;
    let mut state = point;
    // Unusable replicas may be drawn; the bound on tries keeps the cost even.
    for _ in 0..DRAWN * 8 {
        state = mix(state, 1);
        let i = (state % replicas.len().max(1) as u64) as usize;
        if replicas.get(i).is_some_and(|replica| replica.usable(now)) {
            weigh(i, 0.0);
            drawn += 1;
        }
        if drawn == DRAWN {
            break;
        }
    }
    best.map(|(_, i)| i).or_else(|| replicas.iter().position(|replica| replica.usable(now)))
}

fn mean(replicas: &[Replica]) -> f64 {
    let (load, slots) = replicas
        .iter()
        .filter(|replica| replica.accepting)
        .fold((0.0, 0.0), |(load, slots), r| (load + r.reported, slots + r.slots));
    if slots > 0.0 { load / slots } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn idle(id: u64) -> Replica {
        Replica { reported_at: Moment(1_000_000), ..Replica::idle(id, 16.0) }
    }

    #[test]
    fn a_closed_or_failing_replica_is_never_chosen() {
        let now = Moment(1_000_000);
        let mut replicas: Vec<Replica> = (0..10).map(idle).collect();
        for replica in &mut replicas[..9] {
            replica.accepting = false;
        }
        for point in 0..200 {
            assert_eq!(choose(&replicas, Some(point), point, now), Some(9));
        }
        replicas[9].failed_at = Some(now);
        assert_eq!(choose(&replicas, None, 1, now), None);
        assert_eq!(choose(&[], Some(1), 1, now), None);
    }

    #[test]
    fn a_prefix_stays_home_until_home_is_busy() {
        let now = Moment(1_000_000);
        let mut replicas: Vec<Replica> = (0..50).map(idle).collect();
        let home = choose(&replicas, Some(42), 1, now).unwrap();
        let again = (0..100).filter(|p| choose(&replicas, Some(42), *p, now) == Some(home)).count();
        assert!(again >= 95, "{again}");
        replicas[home].reported = 30.0;
        assert_ne!(choose(&replicas, Some(42), 1, now), Some(home));
    }

    #[test]
    fn busy_replicas_are_passed_over() {
        let now = Moment(1_000_000);
        let mut replicas: Vec<Replica> = (0..2).map(idle).collect();
        replicas[0].reported = 16.0;
        let busy = (0..100).filter(|p| choose(&replicas, None, *p, now) == Some(0)).count();
        assert!(busy <= 30, "{busy}");
    }
}
