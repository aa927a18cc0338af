//! The interpreter: one chart, one state, one event at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

/// A state chart as its file declares it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// The chart's name.
    pub name: String,
    /// The state that every life begins in.
    pub start: String,
    /// The states that nothing leaves.
    pub ends: Vec<String>,
    /// The closed list of events.
    pub events: Vec<String>,
    /// The moves out of each state; an event missing there is refused on purpose.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

/// The moves out of one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The state.
    pub from: String,
    /// The next state for each event.
    pub on: BTreeMap<String, String>,
}

/// An event that does not fit the state it met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidTransition {
    /// The chart.
    pub chart: String,
    /// The state the event met.
    pub state: String,
    /// The event.
    pub event: String,
}

impl fmt::Display for InvalidTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "A {} in state `{}` takes no `{}`.", self.chart, self.state, self.event)
    }
}

/// Reads a chart and checks it as a whole.
pub fn load(text: &str) -> Result<Chart, String> {
    let chart: Chart = toml::from_str(text).map_err(|fault| fault.to_string())?;
    chart.check()?;
    Ok(chart)
}

impl Chart {
    /// The state after `event` in `state`.
    pub fn next(&self, state: &str, event: &str) -> Result<&str, InvalidTransition> {
        let step = self.steps.iter().find(|step| step.from == state);
        let to = step.and_then(|step| step.on.get(event));
        to.map(String::as_str).ok_or_else(|| InvalidTransition {
            chart: self.name.clone(),
            state: state.to_owned(),
            event: event.to_owned(),
        })
    }

    /// Whether nothing leaves `state`.
    pub fn is_end(&self, state: &str) -> bool {
        self.ends.iter().any(|end| end == state)
    }

    fn check(&self) -> Result<(), String> {
        let mut states: BTreeSet<&str> = self.ends.iter().map(String::as_str).collect();
        for step in &self.steps {
            if !states.insert(&step.from) {
                return Err(format!("{}: state `{}` is declared twice.", self.name, step.from));
            }
        }
        let mut used = BTreeSet::new();
        for step in &self.steps {
            for (event, to) in &step.on {
                if !states.contains(to.as_str()) {
                    return Err(format!("{}: state `{to}` is not declared.", self.name));
                }
                if !self.events.contains(event) {
                    return Err(format!("{}: event `{event}` is not in the list.", self.name));
                }
                used.insert(event);
            }
        }
        let idle = self.events.iter().find(|event| !used.contains(event));
        if let Some(event) = idle {
            return Err(format!("{}: no state takes event `{event}`.", self.name));
        }
        let reached = self.reached();
        match states.iter().find(|state| !reached.contains(*state)) {
            Some(state) => Err(format!("{}: state `{state}` is never reached.", self.name)),
            None => Ok(()),
        }
    }

    fn reached(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::from([self.start.as_str()]);
        loop {
            let before = reached.len();
            for step in &self.steps {
                if reached.contains(step.from.as_str()) {
                    reached.extend(step.on.values().map(String::as_str));
                }
            }
            if reached.len() == before {
                return reached;
            }
        }
    }
}

/// One life that follows a chart.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Arc<Chart>,
    state: String,
}

impl Machine {
    /// A life at its chart's start.
    pub fn new(chart: Arc<Chart>) -> Machine {
        let state = chart.start.clone();
        Machine { chart, state }
    }

    /// The present state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Takes an event; one that does not fit changes nothing.
    pub fn apply(&mut self, event: &str) -> Result<&str, InvalidTransition> {
        let next = self.chart.next(&self.state, event)?.to_owned();
        self.state = next;
        Ok(&self.state)
    }

    /// Whether this life has ended.
    pub fn ended(&self) -> bool {
        self.chart.is_end(&self.state)
    }
}

#[cfg(test)]
mod tests {
    use super::super::{FILES, named};
    use super::*;

    #[test]
    fn every_chart_of_the_tree_is_sound() {
        for (name, text) in FILES {
            assert_eq!(load(text).unwrap().name, name);
        }
    }

    #[test]
    fn an_event_that_does_not_fit_changes_nothing() {
        let mut request = Machine::new(named("request"));
        request.apply("choose").unwrap();
        assert!(request.apply("bill").is_err());
        assert_eq!(request.state(), "placed");
    }

    #[test]
    fn an_ended_life_takes_no_event_twice() {
        let mut rollout = Machine::new(named("rollout"));
        rollout.apply("withdraw").unwrap();
        assert!(rollout.ended());
        for event in &named("rollout").events {
            assert!(rollout.apply(event).is_err());
        }
    }

    #[test]
    fn a_state_never_reached_is_named() {
        let text =
            "name='x'\nstart='a'\nends=['b','c']\nevents=['go']\n[[step]]\nfrom='a'\non={go='b'}";
        assert!(load(text).unwrap_err().contains("`c` is never reached"));
    }
}
