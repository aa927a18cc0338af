//! The budget of repeated sends: a share of the requests of a sliding window.

use std::collections::VecDeque;

use crate::unit::{Moment, Span};

/// Steps that a window is counted in.
const STEPS: u64 = 20;

/// Share of the agreed ratio that is used; the rest is kept for windows that lie across the steps.
const USED: f64 = 0.9;

/// Part of the budget that is kept for failures: a second run for a better answer must not leave a
/// request without the send that would save it.
const RESERVED: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Step {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// One VM's budget towards one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    step: Span,
    share: f64,
    extra: u32,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// A budget of `share` of the requests in `window`, and one more until an extra is set.
    pub fn new(window: Span, share: f64) -> RetryBudget {
        let step = Span((window.0 / STEPS).max(1));
        RetryBudget { step, share: share * USED, extra: 1, steps: VecDeque::new() }
    }

    /// Sets the repeats beyond the share: this VM's part of what all may spend.
    pub fn set_extra(&mut self, extra: u32) {
        self.extra = extra;
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first(&mut self, now: Moment) {
        self.at(now).firsts += 1;
    }

    /// Takes a repeated send, if one is left.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.spend_of(1.0, now)
    }

    /// Takes a repeated send that serves no failure, if more are left than failures may need.
    pub fn try_spend_optional(&mut self, now: Moment) -> bool {
        self.spend_of(1.0 - RESERVED, now)
    }

    fn spend_of(&mut self, part: f64, now: Moment) -> bool {
        self.at(now);
        let firsts: u32 = self.steps.iter().map(|step| step.firsts).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let all = f64::from(firsts) * self.share + f64::from(self.extra);
        if f64::from(repeats) + 1.0 > all * part {
            return false;
        }
        self.at(now).repeats += 1;
        true
    }

    /// The present step; those that left the window are dropped.
    fn at(&mut self, now: Moment) -> &mut Step {
        let number = now.0 / self.step.0;
        while self.steps.front().is_some_and(|step| step.number + STEPS < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, firsts: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("it was just pushed")
    }
}
