//! Where a cascade starts and whether it climbs: least cost at the quality target.
//!
//! One multiplier prices quality in money. At that price, each answer is kept or climbed from by
//! comparing what is expected of both; the multiplier is the least one whose expected quality,
//! less a bound on what is not known, meets the target.

/// Bins of an engine's confidence.
pub const BINS: usize = 16;

/// Weight of the prior in each bin, in ratings.
const PRIOR: f64 = 4.0;

/// Standard errors kept between the expected quality and the target.
const CAUTION: f64 = 0.8;

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
        self.seen.iter_mut().for_each(|seen| *seen *= kept);
        self.cheap.iter_mut().for_each(|cell| cell.decay(kept));
        self.strong.iter_mut().for_each(|cell| cell.decay(kept));
        self.direct.decay(kept);
    }

    /// Forgets ratings only, when they no longer agree with what is met.
    pub fn doubt(&mut self, kept: f64) {
        self.cheap.iter_mut().for_each(|cell| cell.decay(kept));
        self.strong.iter_mut().for_each(|cell| cell.decay(kept));
        self.direct.decay(kept);
    }
}

/// What is expected of one kind, smoothed.
#[derive(Clone, Debug)]
struct Expected {
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
    /// Begin with the strong rung.
    pub direct: bool,
    /// Keep a cheap answer of that confidence.
    pub keep: [bool; BINS],
    /// Expected share of answers that pass.
    pub quality: f64,
    /// Expected pass share of a cheap answer by confidence.
    pub cheap: [f64; BINS],
}

/// The rule before anything is known: strong.
impl Default for Rule {
    fn default() -> Rule {
        Rule { direct: true, keep: [false; BINS], quality: 0.0, cheap: [0.0; BINS] }
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
    let (mut low, mut high) = (0.0, top);
    // On a logarithmic scale, since prices of quality span orders of magnitude.
    if meets(0.0) {
        high = 0.0;
    }
    for _ in 0..HALVINGS {
        if high == 0.0 {
            break;
        }
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
    expected.iter().map(|kind| rule(kind, rungs, high)).collect()
}

fn expect(beliefs: &[Belief], rungs: &Rungs) -> Vec<Expected> {
    let pooled = pool(beliefs, rungs);
    let total: f64 = beliefs.iter().map(|b| b.seen.iter().sum::<f64>() + 1.0).sum();
    beliefs.iter().map(|belief| expect_kind(belief, &pooled, rungs, total)).collect()
}

/// The pass share of each bin over all kinds: the prior of a kind of which little is known.
fn pool(beliefs: &[Belief], rungs: &Rungs) -> [f64; BINS] {
    let mut pooled = [0.0; BINS];
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
    }
    pooled
}

fn expect_kind(belief: &Belief, pooled: &[f64; BINS], rungs: &Rungs, total: f64) -> Expected {
    let shown: f64 = belief.seen.iter().sum();
    let weight = (shown + 1.0) / total;
    let mut seen = [1.0 / BINS as f64; BINS];
    let mut cheap = [0.0; BINS];
    let mut weights = [0.0; BINS];
    let mut all_strong = belief.direct;
    for cell in &belief.strong {
        all_strong.all += cell.all;
        all_strong.pass += cell.pass;
    }
    let overall = all_strong.toward(rungs.strong_quality);
    let mut strong = [overall; BINS];
    let mut strong_error = [0.0; BINS];
    for i in 0..BINS {
        if shown > 0.0 {
            seen[i] = (belief.seen[i] + 0.05) / (shown + 0.05 * BINS as f64);
        }
        cheap[i] = belief.cheap[i].toward(pooled[i]);
        weights[i] = belief.cheap[i].all + PRIOR;
        strong[i] = belief.strong[i].toward(overall);
        strong_error[i] = (overall * (1.0 - overall) / (all_strong.all + PRIOR)).sqrt();
    }
    monotone(&mut cheap, &weights);
    monotone(&mut strong, &belief.strong.map(|cell| cell.all + PRIOR));
    let mut cheap_error = [0.0; BINS];
    for i in 0..BINS {
        let p = cheap[i].clamp(0.02, 0.98);
        cheap_error[i] = (p * (1.0 - p) / weights[i]).sqrt();
    }
    let direct = overall;
    let direct_error = (direct * (1.0 - direct) / (all_strong.all + PRIOR)).sqrt();
    Expected { weight, seen, cheap, cheap_error, strong, strong_error, direct, direct_error }
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
    let mut keep = [false; BINS];
    let mut worth = rungs.cheap_cost;
    let mut quality = 0.0;
    for (i, keep) in keep.iter_mut().enumerate() {
        let kept = -price * kind.cheap[i];
        let climbed = rungs.strong_cost - price * kind.strong[i];
        *keep = kept <= climbed;
        worth += kind.seen[i] * kept.min(climbed);
        quality += kind.seen[i] * if *keep { kind.cheap[i] } else { kind.strong[i] };
    }
    let direct = rungs.strong_cost - price * kind.direct < worth;
    let quality = if direct { kind.direct } else { quality };
    Rule { direct, keep, quality, cheap: kind.cheap }
}

/// Expected quality over all kinds, and its standard error.
fn outcome(expected: &[Expected], rungs: &Rungs, price: f64) -> (f64, f64) {
    let mut quality = 0.0;
    let mut variance = 0.0;
    for kind in expected {
        let rule = rule(kind, rungs, price);
        quality += kind.weight * rule.quality;
        if rule.direct {
            variance += (kind.weight * kind.direct_error).powi(2);
            continue;
        }
        let mut climbed = 0.0;
        for i in 0..BINS {
            if rule.keep[i] {
                variance += (kind.weight * kind.seen[i] * kind.cheap_error[i]).powi(2);
            } else {
                climbed += kind.seen[i] * kind.strong_error[i];
            }
        }
        variance += (kind.weight * climbed).powi(2);
    }
    (quality, variance.sqrt())
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
        assert!(!rules[0].direct);
        assert!(rules[0].keep[BINS - 1]);
        assert!(!rules[0].keep[0]);
        assert!(rules[0].quality >= 0.93);
    }

    #[test]
    fn hopeless_kinds_begin_with_the_strong_rung() {
        let rules = solve(&[informed(0.05, 0.1, 500.0)], &RUNGS, 0.9);
        assert!(rules[0].direct);
    }

    #[test]
    fn little_evidence_costs_caution() {
        let few = solve(&[informed(0.6, 0.96, 3.0)], &RUNGS, 0.92);
        let many = solve(&[informed(0.6, 0.96, 3000.0)], &RUNGS, 0.92);
        let kept = |rule: &Rule| rule.keep.iter().filter(|keep| **keep).count();
        assert!(few[0].direct || kept(&few[0]) <= kept(&many[0]));
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
