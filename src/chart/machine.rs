//! Parsing and validation of charts, and the state machine that executes one.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

/// State chart, as declared in its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart.
    pub name: String,
    /// Initial state.
    pub start: String,
    /// Final states, which have no transitions.
    pub ends: Vec<String>,
    /// All events. An event that is not listed is an error of the file.
    pub events: Vec<String>,
    /// Transitions of each state. An event that a state does not list is rejected deliberately.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

/// Transitions of one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// State that the transitions leave.
    pub from: String,
    /// Next state for each event.
    pub on: BTreeMap<String, String>,
}

/// Error: an event that the chart does not allow in the current state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidTransition {
    /// Name of the chart.
    pub chart: String,
    /// Current state, which is kept.
    pub state: String,
    /// Rejected event.
    pub event: String,
}

impl fmt::Display for InvalidTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "A {} in state `{}` does not accept event `{}`.",
            self.chart, self.state, self.event
        )
    }
}

/// Parses and validates a chart.
///
/// # Errors
/// If the text is not a chart, a state is declared twice, a transition names an undeclared state or
/// event, an event is never used, or a state is unreachable.
pub fn load(text: &str) -> Result<Chart, String> {
    let chart: Chart = toml::from_str(text).map_err(|fault| fault.to_string())?;
    chart.validate()?;
    Ok(chart)
}

impl Chart {
    /// Returns the state that follows `state` after `event`.
    ///
    /// # Errors
    /// If the chart does not allow the event in that state.
    pub fn next(&self, state: &str, event: &str) -> Result<&str, InvalidTransition> {
        let step = self.steps.iter().find(|step| step.from == state);
        let to = step.and_then(|step| step.on.get(event));
        to.map(String::as_str).ok_or_else(|| InvalidTransition {
            chart: self.name.clone(),
            state: state.to_owned(),
            event: event.to_owned(),
        })
    }

    /// Returns true if `state` is final.
    pub fn is_end(&self, state: &str) -> bool {
        self.ends.iter().any(|end| end == state)
    }

    fn validate(&self) -> Result<(), String> {
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
        let unused = self.events.iter().find(|event| !used.contains(event));
        if let Some(event) = unused {
            return Err(format!("{}: no state accepts event `{event}`.", self.name));
        }
        let reachable = self.reachable();
        match states.iter().find(|state| !reachable.contains(*state)) {
            Some(state) => Err(format!("{}: state `{state}` is never reached.", self.name)),
            None => Ok(()),
        }
    }

    fn reachable(&self) -> BTreeSet<&str> {
        let mut reachable = BTreeSet::from([self.start.as_str()]);
        loop {
            let before = reachable.len();
            for step in &self.steps {
                if reachable.contains(step.from.as_str()) {
                    reachable.extend(step.on.values().map(String::as_str));
                }
            }
            if reachable.len() == before {
                return reachable;
            }
        }
    }
}

/// State machine that executes a chart.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Arc<Chart>,
    state: String,
}

impl Machine {
    /// Creates a machine in the chart's initial state.
    pub fn new(chart: Arc<Chart>) -> Machine {
        let state = chart.start.clone();
        Machine { chart, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Applies an event and returns the new state.
    ///
    /// # Errors
    /// If the chart does not allow the event in the current state, which is then kept.
    pub fn apply(&mut self, event: &str) -> Result<&str, InvalidTransition> {
        let next = self.chart.next(&self.state, event)?.to_owned();
        self.state = next;
        Ok(&self.state)
    }

    /// Returns true if the machine is in a final state.
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
