//! Choice of the replica (one of several equal backend servers) for a request, from delayed load
//! reports and the requests that this VM sent itself. A prompt *prefix* may be cached on some
//! replicas, its *affine* ones.

use crate::unit::hash::mix;
use crate::unit::{Moment, Span};

/// Half-life of the weight of a replica's load report: other VMs have acted on the report in the
/// meantime, so the reported load is out of date.
const REPORT_HALF_LIFE: Span = Span::millis(400);

/// Reduction of the cost of a replica that has the prompt's prefix cached, in the unit of [`cost`].
const AFFINITY_BONUS: f64 = 0.6;

/// Load of a replica, as a fraction of its slots, from which a request may have to queue.
const QUEUEING_THRESHOLD: f64 = 0.94;

/// Cost per unit of load beyond [`QUEUEING_THRESHOLD`]: queueing delays a request much.
const QUEUEING_COST: f64 = 6.0;

/// Cost per unit of load: a request that shares a batch with others is delayed a little.
const BATCHING_COST: f64 = 0.25;

/// Number of replicas on which a prefix is expected to be cached.
const AFFINE_REPLICAS: usize = 3;

/// Factor on [`AFFINITY_BONUS`] for each further affine replica of a prefix.
const AFFINITY_DECAY: f64 = 0.7;

/// Number of random candidates compared with the affine replicas of a prefix.
const RANDOM_CANDIDATES: usize = 3;

/// Time for which a replica gets no requests after a request failed there.
const FAILURE_BACKOFF: Span = Span::millis(1500);

/// State of one replica, as known to one VM: the inputs of [`select_replica`].
#[derive(Clone, Copy, Debug)]
pub struct Replica {
    /// Stable number of the replica, used for the rendezvous hashing of prefixes.
    pub id: u64,
    /// Number of requests that the replica runs concurrently.
    pub slots: f64,
    /// Requests running and waiting at the replica, by its last report.
    pub reported: f64,
    /// When the last report was received.
    pub reported_at: Moment,
    /// This VM's open requests at the replica now.
    pub own_open: f64,
    /// This VM's open requests at the replica when the last report was received.
    pub own_open_at_report: f64,
    /// True if the replica accepts new requests.
    pub accepting: bool,
    /// When a request last failed at the replica without having run.
    pub failed_at: Option<Moment>,
    /// One-way network latency from this VM to the replica.
    pub latency: Span,
}

impl Replica {
    /// Returns an accepting replica without any report yet.
    pub fn idle(id: u64, slots: f64) -> Replica {
        Replica {
            id,
            slots,
            reported: 0.0,
            reported_at: Moment(0),
            own_open: 0.0,
            own_open_at_report: 0.0,
            accepting: true,
            failed_at: None,
            latency: Span(0),
        }
    }

    /// Returns true if new requests may be sent to the replica now.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.accepting && self.failed_at.is_none_or(|at| now.since(at) >= FAILURE_BACKOFF)
    }

    /// Estimates the load of the replica as a fraction of its slots; `mean` is the mean load of all
    /// replicas.
    fn load(&self, mean: f64, now: Moment) -> f64 {
        let age = now.since(self.reported_at).as_secs() / REPORT_HALF_LIFE.as_secs();
        let weight = 0.5f64.powf(age);
        let sent_since = (self.own_open - self.own_open_at_report).max(0.0);
        let estimate = weight * self.reported / self.slots + (1.0 - weight) * mean;
        estimate.max(self.own_open / self.slots) + sent_since / self.slots
    }
}

/// Returns the cost of sending a request to a replica with this load, a fraction of its slots.
fn cost(load: f64) -> f64 {
    load * BATCHING_COST + (load - QUEUEING_THRESHOLD).max(0.0) * QUEUEING_COST
}

/// Returns the replicas that should hold a prefix: the highest by rendezvous hashing among the
/// usable ones.
fn affine_replicas(
    replicas: &[Replica],
    prefix: u64,
    now: Moment,
) -> [Option<usize>; AFFINE_REPLICAS] {
    let mut best = [(0, None); AFFINE_REPLICAS];
    for (i, replica) in replicas.iter().enumerate() {
        if !replica.is_usable(now) {
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

/// Returns the index of the replica for a request; none if no replica is usable. `prefix` is a
/// digest of the beginning of the prompt, if there is one, and `point` a random number of the
/// request.
pub fn select_replica(
    replicas: &[Replica],
    prefix: Option<u64>,
    point: u64,
    now: Moment,
) -> Option<usize> {
    let mean = mean_load(replicas);
    let mut best: Option<(f64, usize)> = None;
    let mut consider = |i: usize, bonus: f64| {
        let replica = &replicas[i];
        let latency_cost = replica.latency.as_secs() * 10.0;
        // Random jitter breaks ties, or every VM would break them alike.
        let jitter = (mix(point, i as u64) >> 40) as f64 / (1u64 << 24) as f64 * 1e-3;
        let score = cost(replica.load(mean, now)) + latency_cost + jitter - bonus;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, i));
        }
    };
    if let Some(prefix) = prefix {
        for (rank, home) in affine_replicas(replicas, prefix, now).into_iter().enumerate() {
            if let Some(home) = home {
                consider(home, AFFINITY_BONUS * AFFINITY_DECAY.powi(rank as i32));
            }
        }
    }
    let mut candidates = 0;
    let mut state = point;
    // Unusable replicas may be drawn; the bound on draws keeps the cost constant.
    for _ in 0..RANDOM_CANDIDATES * 8 {
        state = mix(state, 1);
        let i = (state % replicas.len().max(1) as u64) as usize;
        if replicas.get(i).is_some_and(|replica| replica.is_usable(now)) {
            consider(i, 0.0);
            candidates += 1;
        }
        if candidates == RANDOM_CANDIDATES {
            break;
        }
    }
    best.map(|(_, i)| i).or_else(|| replicas.iter().position(|replica| replica.is_usable(now)))
}

/// Returns the mean reported load of the accepting replicas, as a fraction of their slots.
fn mean_load(replicas: &[Replica]) -> f64 {
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
            assert_eq!(select_replica(&replicas, Some(point), point, now), Some(9));
        }
        replicas[9].failed_at = Some(now);
        assert_eq!(select_replica(&replicas, None, 1, now), None);
        assert_eq!(select_replica(&[], Some(1), 1, now), None);
    }

    #[test]
    fn a_prefix_stays_home_until_home_is_busy() {
        let now = Moment(1_000_000);
        let mut replicas: Vec<Replica> = (0..50).map(idle).collect();
        let home = select_replica(&replicas, Some(42), 1, now).unwrap();
        let again =
            (0..100).filter(|p| select_replica(&replicas, Some(42), *p, now) == Some(home)).count();
        assert!(again >= 95, "{again}");
        replicas[home].reported = 30.0;
        assert_ne!(select_replica(&replicas, Some(42), 1, now), Some(home));
    }

    #[test]
    fn busy_replicas_are_passed_over() {
        let now = Moment(1_000_000);
        let mut replicas: Vec<Replica> = (0..2).map(idle).collect();
        replicas[0].reported = 16.0;
        let busy = (0..100).filter(|p| select_replica(&replicas, None, *p, now) == Some(0)).count();
        assert!(busy <= 30, "{busy}");
    }
}
