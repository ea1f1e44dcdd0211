//! Built-in state charts of the life cycles of servers, processes and control members.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use serde::Deserialize;

use crate::schema::{DocumentSchema, SchemaError};

/// JSON texts of the built-in charts.
const SERVER_CHART: &str = include_str!("../charts/server.json");
const PROCESS_CHART: &str = include_str!("../charts/process.json");
const MEMBER_CHART: &str = include_str!("../charts/member.json");

static SERVER: LazyLock<StateChart> = LazyLock::new(|| parse_built_in("server", SERVER_CHART));
static PROCESS: LazyLock<StateChart> = LazyLock::new(|| parse_built_in("process", PROCESS_CHART));
static MEMBER: LazyLock<StateChart> = LazyLock::new(|| parse_built_in("member", MEMBER_CHART));

/// Error in a state chart.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    #[error("chart is malformed: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Malformed(Vec<SchemaError>),
    #[error("initial state `{0}` is not among the states")]
    MissingInitial(Box<str>),
    #[error("state `{state}` names the unknown event `{event}`")]
    UnknownEvent { state: Box<str>, event: Box<str> },
    #[error("state `{state}` leads to the unknown state `{target}` on `{event}`")]
    UnknownTarget { state: Box<str>, event: Box<str>, target: Box<str> },
    #[error("no transition leads to state `{0}`")]
    UnreachableState(Box<str>),
    #[error("no transition names event `{0}`")]
    UnusedEvent(Box<str>),
}

/// Validated state chart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StateChart {
    initial: Box<str>,
    events: BTreeSet<Box<str>>,
    states: BTreeMap<Box<str>, BTreeMap<Box<str>, Box<str>>>,
}

impl StateChart {
    /// Returns the chart of one incarnation of a server.
    pub fn server() -> &'static Self {
        &SERVER
    }

    /// Returns the chart of a process.
    pub fn process() -> &'static Self {
        &PROCESS
    }

    /// Returns the chart of a control member.
    pub fn member() -> &'static Self {
        &MEMBER
    }

    /// Validates the built-in charts; called once at startup.
    pub fn check_all() -> Result<(), ChartError> {
        for text in [SERVER_CHART, PROCESS_CHART, MEMBER_CHART] {
            Self::parse(text)?;
        }
        Ok(())
    }

    /// Parses and validates a chart.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            DocumentSchema::state_chart().parse(text).map_err(ChartError::Malformed)?;
        chart.check()?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// Returns the names of all states.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(AsRef::as_ref)
    }

    /// Returns the names of all events.
    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.events.iter().map(AsRef::as_ref)
    }

    /// Returns the state that follows `state` on `event`; `None` if there is no such transition.
    pub fn next_state(&self, state: &str, event: &str) -> Option<&str> {
        self.states.get(state)?.get(event).map(AsRef::as_ref)
    }

    /// Returns whether the state has no outgoing transitions.
    pub fn is_final(&self, state: &str) -> bool {
        self.states.get(state).is_some_and(BTreeMap::is_empty)
    }

    fn check(&self) -> Result<(), ChartError> {
        if !self.states.contains_key(&self.initial) {
            return Err(ChartError::MissingInitial(self.initial.clone()));
        }
        let mut used_events = BTreeSet::new();
        for (state, transitions) in &self.states {
            for (event, target) in transitions {
                self.check_transition(state, event, target)?;
                used_events.insert(event);
            }
        }
        if let Some(event) = self.events.iter().find(|event| !used_events.contains(event)) {
            return Err(ChartError::UnusedEvent(event.clone()));
        }
        let reached = self.reachable_states();
        match self.states.keys().find(|state| !reached.contains(state.as_ref())) {
            Some(state) => Err(ChartError::UnreachableState(state.clone())),
            None => Ok(()),
        }
    }

    fn check_transition(&self, state: &str, event: &str, target: &str) -> Result<(), ChartError> {
        if !self.events.contains(event) {
            return Err(ChartError::UnknownEvent { state: state.into(), event: event.into() });
        }
        if !self.states.contains_key(target) {
            let (state, event, target) = (state.into(), event.into(), target.into());
            return Err(ChartError::UnknownTarget { state, event, target });
        }
        Ok(())
    }

    fn reachable_states(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::from([self.initial()]);
        let mut pending_states = vec![self.initial()];
        while let Some(state) = pending_states.pop() {
            for target in self.states[state].values() {
                if reached.insert(target) {
                    pending_states.push(target);
                }
            }
        }
        reached
    }
}

fn parse_built_in(name: &str, text: &str) -> StateChart {
    match StateChart::parse(text) {
        Ok(chart) => chart,
        Err(error) => panic!("built-in chart {name}: {error}"),
    }
}
