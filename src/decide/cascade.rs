//! Where a cascade starts and whether it climbs: least cost at the quality target.
//!
//! One multiplier prices quality in money. At that price, each answer is kept or climbed from by
//! comparing what is expected of both; the multiplier is the least one whose expected quality,
//! less a bound on what is not known, meets the target.

use super::sequential::{Count, evidence};

/// Bins of an engine's confidence.
pub const BINS: usize = 16;

/// Weight of the prior in each bin, in ratings: the shape over all kinds, at the kind's level.
const PRIOR: f64 = 10.0;

/// Standard errors kept between the expected quality and the target.
const CAUTION: f64 = 0.6;

/// Kept between the expected quality and the target whatever is known.
const SLACK: f64 = 0.001;

/// Halvings of the interval in which the multiplier is searched.
const HALVINGS: usize = 40;

/// The largest multiplier, in costs of the strongest rung.
const DEAREST: f64 = 1e4;

/// Ratings, decayed with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cell {
    /// Ratings.
    pub all: f64,
    /// Those that passed.
    pub pass: f64,
}

impl Cell {
    fn toward(self, prior: f64) -> f64 {
        (self.pass + PRIOR * prior) / (self.all + PRIOR)
    }

    fn decay(&mut self, kept: f64) {
        self.all *= kept;
        self.pass *= kept;
    }

    /// Adds a rating.
    pub fn add(&mut self, pass: bool) {
        self.all += 1.0;
        self.pass += f64::from(u8::from(pass));
    }
}

/// The bin of a confidence from 0 to 1.
pub fn bin(confidence: f64) -> usize {
    ((confidence * BINS as f64) as usize).min(BINS - 1)
}

/// What is believed of one kind of work in one workspace, for a cheap and a strong rung.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Belief {
    /// Requests of this kind.
    pub asked: f64,
    /// How often the cheap rung showed each confidence.
    pub seen: [f64; BINS],
    /// Ratings of cheap answers, by confidence.
    pub cheap: [Cell; BINS],
    /// Ratings of strong answers, by the confidence of the cheap one before.
    pub strong: [Cell; BINS],
    /// Ratings of strong answers that began there.
    pub direct: Cell,
}

impl Belief {
    /// Forgets a part of everything; `kept` of it remains.
    pub fn decay(&mut self, kept: f64) {
        self.asked *= kept;
        self.seen.iter_mut().for_each(|seen| *seen *= kept);
        self.cheap.iter_mut().for_each(|cell| cell.decay(kept));
        self.strong.iter_mut().for_each(|cell| cell.decay(kept));
        self.direct.decay(kept);
    }

    /// Forgets most ratings, since they no longer agree with what is met.
    pub fn doubt(&mut self) {
        self.cheap.iter_mut().for_each(|cell| cell.decay(REMAINS));
        self.strong.iter_mut().for_each(|cell| cell.decay(REMAINS));
        self.direct.decay(REMAINS);
    }
}

/// Ratings fade by this with each further rating of their kind.
pub const FADE: f64 = 0.9995;

/// Ratings that the watch looks back on.
const LOOK_BACK: f64 = 120.0;

/// Evidence, as a chance, on which what is believed is doubted.
const ALARM: f64 = 1e-4;

/// What remains of ratings after an alarm: little, so that caution returns at once.
const REMAINS: f64 = 0.08;

/// Watches whether ratings still agree with what was expected of the answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    met: Count,
    expected: f64,
}

impl Watch {
    /// Notes a rating of an answer that was expected to pass with that chance; whether ratings
    /// prove that answers have become worse.
    pub fn note(&mut self, expected: f64, pass: bool) -> bool {
        let kept = 1.0 - 1.0 / LOOK_BACK;
        self.met.all = self.met.all * kept + 1.0;
        self.met.bad = self.met.bad * kept + f64::from(u8::from(!pass));
        self.expected = self.expected * kept + (1.0 - expected);
        let usual = (self.expected / self.met.all).clamp(0.01, 0.99);
        let alarm = evidence(self.met, usual + 0.01) >= (1.0 / ALARM).ln();
        if alarm {
            *self = Watch::default();
        }
        alarm
    }
}

/// What is expected of one kind, smoothed.
#[derive(Clone, Debug)]
struct Expected {
    explore: f64,
    weight: f64,
    seen: [f64; BINS],
    cheap: [f64; BINS],
    cheap_error: [f64; BINS],
    strong: [f64; BINS],
    strong_error: [f64; BINS],
    direct: f64,
    direct_error: f64,
}

/// The price and declared quality of the rungs.
#[derive(Clone, Copy, Debug)]
pub struct Rungs {
    /// Cost of a cheap answer.
    pub cheap_cost: f64,
    /// Cost of a strong answer.
    pub strong_cost: f64,
    /// Declared share of cheap answers that pass.
    pub cheap_quality: f64,
    /// Declared share of strong answers that pass.
    pub strong_quality: f64,
}

/// What to do for one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Chance to begin with the strong rung.
    pub direct: f64,
    /// Chance to keep a cheap answer of that confidence.
    pub keep: [f64; BINS],
    /// Expected share of answers that pass.
    pub quality: f64,
    /// Chance to try the cheap rung though the rule begins with the strong one.
    pub explore: f64,
    /// Expected pass share of a cheap answer by confidence.
    pub cheap: [f64; BINS],
}

/// The rule before anything is known: strong.
impl Default for Rule {
    fn default() -> Rule {
        Rule { direct: 1.0, keep: [0.0; BINS], quality: 0.0, explore: SCOUT, cheap: [0.0; BINS] }
    }
}

/// Solves for the rules of all kinds that share one target.
pub fn solve(beliefs: &[Belief], rungs: &Rungs, target: f64) -> Vec<Rule> {
    let expected = expect(beliefs, rungs);
    let meets = |price: f64| {
        let (quality, error) = outcome(&expected, rungs, price);
        quality - CAUTION * error - SLACK >= target
    };
    let top = DEAREST * rungs.strong_cost;
    if meets(0.0) {
        return expected.iter().map(|kind| rule(kind, rungs, 0.0)).collect();
    }
    let (mut low, mut high) = (0.0, top);
    // On a logarithmic scale, since prices of quality span orders of magnitude.
    for _ in 0..HALVINGS {
        let middle: f64 = if low == 0.0 { high * 1e-2 } else { (low * high).sqrt() };
        if meets(middle) {
            high = middle;
        } else {
            low = middle;
        }
        if low > 0.0 && high / low < 1.001 || high < rungs.strong_cost * 1e-6 {
            break;
        }
    }
    let share = mixture(&expected, rungs, target, low, high);
    let mixed = |kind| rule(kind, rungs, low).mix(&rule(kind, rungs, high), share);
    expected.iter().map(mixed).collect()
}

/// The share of the dearer price: the two together just meet the target.
fn mixture(expected: &[Expected], rungs: &Rungs, target: f64, low: f64, high: f64) -> f64 {
    let sure = |price| {
        let (quality, error) = outcome(expected, rungs, price);
        quality - CAUTION * error - SLACK
    };
    let (under, over) = (sure(low), sure(high));
    if over - under < 1e-9 {
        return 1.0;
    }
    ((target - under) / (over - under)).clamp(0.0, 1.0)
}

impl Rule {
    /// Whether to begin with the strong rung; `point` is the request's own from 0 to 1.
    pub fn begins_strong(&self, point: f64) -> bool {
        point < self.direct
    }

    /// Whether to keep a cheap answer; `point` is the request's own from 0 to 1.
    pub fn keeps(&self, bin: usize, point: f64) -> bool {
        point < self.keep[bin]
    }

    fn mix(&self, other: &Rule, share: f64) -> Rule {
        let mix = |a: f64, b: f64| a + (b - a) * share;
        let mut keep = [0.0; BINS];
        for (i, keep) in keep.iter_mut().enumerate() {
            *keep = mix(self.keep[i], other.keep[i]);
        }
        Rule {
            direct: mix(self.direct, other.direct),
            keep,
            quality: mix(self.quality, other.quality),
            explore: self.explore,
            cheap: self.cheap,
        }
    }
}

fn expect(beliefs: &[Belief], rungs: &Rungs) -> Vec<Expected> {
    let pooled = pool(beliefs, rungs);
    let strong = all_strong(beliefs);
    let total: f64 = beliefs.iter().map(|b| b.asked + 1.0).sum();
    beliefs.iter().map(|belief| expect_kind(belief, &pooled, strong, rungs, total)).collect()
}

/// All ratings of strong answers.
fn all_strong(beliefs: &[Belief]) -> Cell {
    let cells = beliefs.iter().flat_map(|b| b.strong.iter().chain([&b.direct]));
    cells.fold(Cell::default(), |sum, cell| Cell {
        all: sum.all + cell.all,
        pass: sum.pass + cell.pass,
    })
}

/// A strong rung is much alike over kinds: others' ratings count as at most so many.
const ALIKE: f64 = 80.0;

/// The pass share of each bin over all kinds: the shape of a kind of which little is known.
fn pool(beliefs: &[Belief], rungs: &Rungs) -> [f64; BINS] {
    let mut pooled = [0.0; BINS];
    let mut weights = [0.0; BINS];
    for (i, share) in pooled.iter_mut().enumerate() {
        let mut cell = Cell::default();
        for belief in beliefs {
            cell.all += belief.cheap[i].all;
            cell.pass += belief.cheap[i].pass;
        }
        // Confidence is trusted a little before any rating has come.
        let middle = (i as f64 + 0.5) / BINS as f64;
        let prior = (rungs.cheap_quality * 0.5 + middle * 0.5).min(rungs.cheap_quality);
        *share = cell.toward(prior);
        weights[i] = cell.all + PRIOR;
    }
    monotone(&mut pooled, &weights);
    smooth(&pooled)
}

/// Each bin with its neighbours: steps that a rising fit leaves are chance, not shape.
fn smooth(values: &[f64; BINS]) -> [f64; BINS] {
    let mut smoothed = *values;
    for i in 1..BINS - 1 {
        smoothed[i] = (values[i - 1] + 2.0 * values[i] + values[i + 1]) / 4.0;
    }
    smoothed
}

/// Ratings' worth of trust that a kind is at the level of all kinds.
const LEVEL: f64 = 4.0;

/// Newton steps towards a kind's level.
const STEPS: usize = 6;

/// The shape over all kinds, moved in log-odds to the level that a kind's own ratings show.
fn at_level(pooled: &[f64; BINS], cells: &[Cell; BINS]) -> [f64; BINS] {
    let odds = pooled.map(|p| {
        let p = p.clamp(0.01, 0.99);
        (p / (1.0 - p)).ln()
    });
    let mut shift = 0.0;
    for _ in 0..STEPS {
        let mut slope = -shift * LEVEL * 0.25;
        let mut bend = LEVEL * 0.25;
        for (odds, cell) in odds.iter().zip(cells) {
            let p = 1.0 / (1.0 + (-(odds + shift)).exp());
            slope += cell.pass - cell.all * p;
            bend += cell.all * p * (1.0 - p);
        }
        shift += (slope / bend).clamp(-1.0, 1.0);
    }
    odds.map(|odds| 1.0 / (1.0 + (-(odds + shift)).exp()))
}

fn expect_kind(
    belief: &Belief,
    pooled: &[f64; BINS],
    strong_ratings: Cell,
    rungs: &Rungs,
    total: f64,
) -> Expected {
    let shown: f64 = belief.seen.iter().sum();
    let weight = (belief.asked + 1.0) / total;
    let mut seen = [1.0 / BINS as f64; BINS];
    let mut cheap = [0.0; BINS];
    let mut weights = [0.0; BINS];
    let level = at_level(pooled, &belief.cheap);
    let own = all_strong(std::slice::from_ref(belief));
    let prior = strong_ratings.toward(rungs.strong_quality);
    let trust = strong_ratings.all.min(ALIKE) + PRIOR;
    let overall = (own.pass + trust * prior) / (own.all + trust);
    let overall_error = (overall * (1.0 - overall) / (own.all + trust)).sqrt();
    let mut strong = [overall; BINS];
    let mut strong_error = [0.0; BINS];
    for i in 0..BINS {
        if shown > 0.0 {
            seen[i] = (belief.seen[i] + 0.05) / (shown + 0.05 * BINS as f64);
        }
        cheap[i] = belief.cheap[i].toward(level[i]);
        weights[i] = belief.cheap[i].all + PRIOR;
        strong[i] = belief.strong[i].toward(overall);
        strong_error[i] = overall_error;
    }
    monotone(&mut cheap, &weights);
    monotone(&mut strong, &belief.strong.map(|cell| cell.all + PRIOR));
    let mut cheap_error = [0.0; BINS];
    for i in 0..BINS {
        let p = cheap[i].clamp(0.02, 0.98);
        cheap_error[i] = (p * (1.0 - p) / weights[i]).sqrt();
    }
    let direct = overall;
    let direct_error = overall_error;
    Expected {
        explore: explore(belief),
        weight,
        seen,
        cheap,
        cheap_error,
        strong,
        strong_error,
        direct,
        direct_error,
    }
}

/// The nearest rising sequence: a more confident answer is not likelier to be poor.
fn monotone(values: &mut [f64; BINS], weights: &[f64; BINS]) {
    let mut blocks: [(f64, f64, usize); BINS] = [(0.0, 0.0, 0); BINS];
    let mut count = 0;
    for i in 0..BINS {
        blocks[count] = (values[i], weights[i], 1);
        count += 1;
        while count > 1 && blocks[count - 2].0 > blocks[count - 1].0 {
            let (a, b) = (blocks[count - 2], blocks[count - 1]);
            let weight = a.1 + b.1;
            blocks[count - 2] = ((a.0 * a.1 + b.0 * b.1) / weight, weight, a.2 + b.2);
            count -= 1;
        }
    }
    let mut at = 0;
    for block in &blocks[..count] {
        values[at..at + block.2].fill(block.0);
        at += block.2;
    }
}

fn rule(kind: &Expected, rungs: &Rungs, price: f64) -> Rule {
    let mut keep = [0.0; BINS];
    let mut worth = rungs.cheap_cost;
    let mut quality = 0.0;
    for (i, keep) in keep.iter_mut().enumerate() {
        let kept = -price * kind.cheap[i];
        let climbed = rungs.strong_cost - price * kind.strong[i];
        *keep = f64::from(u8::from(kept <= climbed));
        worth += kind.seen[i] * kept.min(climbed);
        quality += kind.seen[i] * if *keep > 0.0 { kind.cheap[i] } else { kind.strong[i] };
    }
    let direct = rungs.strong_cost - price * kind.direct < worth;
    let quality = if direct { kind.direct } else { quality };
    Rule {
        direct: f64::from(u8::from(direct)),
        keep,
        quality,
        explore: kind.explore,
        cheap: kind.cheap,
    }
}

/// Expected quality over all kinds, and its standard error.
fn outcome(expected: &[Expected], rungs: &Rungs, price: f64) -> (f64, f64) {
    let mut quality = 0.0;
    let mut variance = 0.0;
    for kind in expected {
        let rule = rule(kind, rungs, price);
        quality += kind.weight * rule.quality;
        if rule.direct > 0.0 {
            variance += (kind.weight * kind.direct_error).powi(2);
            continue;
        }
        let mut climbed = 0.0;
        for i in 0..BINS {
            if rule.keep[i] > 0.0 {
                variance += (kind.weight * kind.seen[i] * kind.cheap_error[i]).powi(2);
            } else {
                climbed += kind.seen[i] * kind.strong_error[i];
            }
        }
        variance += (kind.weight * climbed).powi(2);
    }
    (quality, variance.sqrt())
}

/// Ratings of cheap answers after which a kind counts as known.
const KNOWN: f64 = 120.0;

/// Share of requests that try the cheap rung against the rule, while a kind is not known and after.
const SCOUT: f64 = 0.4;
const EXPLORE: f64 = 0.02;

/// The chance to try the cheap rung though the rule begins with the strong one. The caller gets
/// the strong answer all the same, so this costs money and never quality.
fn explore(belief: &Belief) -> f64 {
    let known: f64 = belief.cheap.iter().map(|cell| cell.all).sum();
    if known < KNOWN { SCOUT } else { EXPLORE }
}

/// Which answer may be rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A cheap one of that bin of confidence.
    Cheap(usize),
    /// A strong one that was climbed to.
    Climbed,
    /// A strong one that the cascade began with.
    Direct,
}

/// Bins on either side of a change between keeping and climbing whose ratings tell most.
const NEAR: usize = 2;

/// How much a rating of an answer tells, compared with others.
pub fn worth(rule: &Rule, answer: Answer) -> f64 {
    let Answer::Cheap(bin) = answer else {
        return if answer == Answer::Climbed { 0.8 } else { 0.3 };
    };
    let near = bin.saturating_sub(NEAR)..(bin + NEAR).min(BINS - 1);
    let decides = rule.direct > 0.5 || near.into_iter().any(|i| rule.keep[i] != rule.keep[i + 1]);
    if decides { 2.0 } else { 0.7 }
}

/// Ratings that may be saved up, and the credit at which an answer of usual worth is rated.
const SAVED: f64 = 40.0;
const FULL: f64 = 8.0;

/// Spends a share of ratings where they tell most, and no more than that share.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credit(f64);

impl Credit {
    /// Counts a request; `share` is that of ratings to requests.
    pub fn earn(&mut self, share: f64) {
        self.0 = (self.0 + share).min(SAVED);
    }

    /// Whether to have an answer of that worth rated; `point` is a random number from 0 to 1.
    pub fn spend(&mut self, worth: f64, point: f64) -> bool {
        let rated = self.0 >= 1.0 && point < worth * self.0 / FULL;
        if rated {
            self.0 -= 1.0;
        }
        rated
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RUNGS: Rungs =
        Rungs { cheap_cost: 1.0, strong_cost: 10.0, cheap_quality: 0.7, strong_quality: 0.95 };

    fn informed(pass_low: f64, pass_high: f64, ratings: f64) -> Belief {
        let mut belief = Belief::default();
        for i in 0..BINS {
            belief.seen[i] = 100.0;
            let pass = if i < BINS / 2 { pass_low } else { pass_high };
            belief.cheap[i] = Cell { all: ratings, pass: ratings * pass };
            belief.strong[i] = Cell { all: ratings, pass: ratings * 0.95 };
        }
        belief
    }

    #[test]
    fn confident_answers_are_kept_and_others_climb() {
        let rules = solve(&[informed(0.3, 0.96, 500.0)], &RUNGS, 0.93);
        assert!(rules[0].direct < 0.5);
        assert!(rules[0].keeps(BINS - 1, 0.99));
        assert!(!rules[0].keeps(0, 0.01));
        assert!(rules[0].quality >= 0.93);
    }

    #[test]
    fn hopeless_kinds_begin_with_the_strong_rung() {
        let rules = solve(&[informed(0.05, 0.1, 500.0)], &RUNGS, 0.9);
        assert!(rules[0].begins_strong(0.85));
    }

    #[test]
    fn little_evidence_costs_caution() {
        let few = solve(&[informed(0.6, 0.96, 3.0)], &RUNGS, 0.92);
        let many = solve(&[informed(0.6, 0.96, 3000.0)], &RUNGS, 0.92);
        let kept = |rule: &Rule| rule.keep.iter().filter(|keep| **keep > 0.5).count();
        assert!(few[0].direct > 0.5 || kept(&few[0]) <= kept(&many[0]));
    }

    #[test]
    fn monotone_leaves_no_fall() {
        let mut values = [0.5; BINS];
        values[3] = 0.9;
        values[9] = 0.1;
        monotone(&mut values, &[1.0; BINS]);
        assert!(values.windows(2).all(|pair| pair[0] <= pair[1] + 1e-12));
    }
}
