//! State charts of servers, processes and control members, compiled in and interpreted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use serde::Deserialize;

use crate::schema::{DocumentSchema, SchemaError};

/// Texts of the compiled-in charts.
const SERVER_CHART: &str = include_str!("../charts/server.json");
const PROCESS_CHART: &str = include_str!("../charts/process.json");
const MEMBER_CHART: &str = include_str!("../charts/member.json");

static SERVER: LazyLock<StateChart> = LazyLock::new(|| compiled_in("server", SERVER_CHART));
static PROCESS: LazyLock<StateChart> = LazyLock::new(|| compiled_in("process", PROCESS_CHART));
static MEMBER: LazyLock<StateChart> = LazyLock::new(|| compiled_in("member", MEMBER_CHART));

/// Why a chart cannot be used.
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

/// A checked state chart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StateChart {
    initial: Box<str>,
    events: BTreeSet<Box<str>>,
    states: BTreeMap<Box<str>, BTreeMap<Box<str>, Box<str>>>,
}

impl StateChart {
    /// Chart of one incarnation of a server.
    pub fn server() -> &'static Self {
        &SERVER
    }

    /// Chart of a process.
    pub fn process() -> &'static Self {
        &PROCESS
    }

    /// Chart of a control member.
    pub fn member() -> &'static Self {
        &MEMBER
    }

    /// Checks the compiled-in charts; called once at start.
    pub fn check_all() -> Result<(), ChartError> {
        for text in [SERVER_CHART, PROCESS_CHART, MEMBER_CHART] {
            Self::parse(text)?;
        }
        Ok(())
    }

    /// Reads and checks a chart.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            DocumentSchema::state_chart().parse(text).map_err(ChartError::Malformed)?;
        chart.check()?;
        Ok(chart)
    }

    /// State at the start.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// Names of all states.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(AsRef::as_ref)
    }

    /// Names of all events.
    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.events.iter().map(AsRef::as_ref)
    }

    /// Returns the state after an event; `None` when the event does not apply to the state.
    pub fn next(&self, state: &str, event: &str) -> Option<&str> {
        self.states.get(state)?.get(event).map(AsRef::as_ref)
    }

    /// Tells whether no event leaves the state.
    pub fn is_final(&self, state: &str) -> bool {
        self.states.get(state).is_some_and(BTreeMap::is_empty)
    }

    fn check(&self) -> Result<(), ChartError> {
        if !self.states.contains_key(&self.initial) {
            return Err(ChartError::MissingInitial(self.initial.clone()));
        }
        let mut used = BTreeSet::new();
        for (state, transitions) in &self.states {
            for (event, target) in transitions {
                self.check_transition(state, event, target)?;
                used.insert(event);
            }
        }
        if let Some(event) = self.events.iter().find(|event| !used.contains(event)) {
            return Err(ChartError::UnusedEvent(event.clone()));
        }
        let reached = self.reachable();
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

    fn reachable(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::from([self.initial()]);
        let mut open = vec![self.initial()];
        while let Some(state) = open.pop() {
            for target in self.states[state].values() {
                if reached.insert(target) {
                    open.push(target);
                }
            }
        }
        reached
    }
}

fn compiled_in(name: &str, text: &str) -> StateChart {
    match StateChart::parse(text) {
        Ok(chart) => chart,
        Err(error) => panic!("compiled-in chart {name}: {error}"),
    }
}
