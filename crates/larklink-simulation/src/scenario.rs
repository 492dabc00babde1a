//! The scenario file, in TOML: fleet, listeners, traffic, scheduled faults and requirements. Missing keys take
//! defaults, unknown keys are rejected, and validation reports all problems at once, each with its line number.
use serde::Deserialize;
use toml::Spanned;

use crate::duration::{ConfigDuration, SECOND};
use crate::scenario::validation::{FaultTargets, ProblemCollector};
use crate::time::Timestamp;

mod error;
mod fault;
mod fleet;
mod listener;
mod requirements;
mod validation;

pub use error::{ScenarioError, ScenarioProblem};
pub use fault::{FaultKind, FaultSpec};
pub use fleet::{
    EndpointListSettings, LoadBalancerSettings, ProxyFleet, ProxyRules, ServerGroup, SessionStoreSettings,
};
pub use listener::{ListenerSpec, RetryBehavior, SessionKind};
pub use requirements::Requirements;

/// A test run described by a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Shown in reports.
    pub name: String,
    /// What the scenario demonstrates, as free text.
    pub about: String,
    /// The random seed of a run, unless the caller passes another one.
    pub seed: u64,
    /// How long new clients arrive and faults are injected.
    pub length: ConfigDuration,
    /// Number and resources of the proxies.
    pub proxies: ProxyFleet,
    /// The limits that the proxies must respect.
    pub rules: ProxyRules,
    /// Groups of identical servers.
    pub servers: Vec<Spanned<ServerGroup>>,
    /// Rate and queue limit of the session store.
    #[serde(rename = "store")]
    pub session_store: SessionStoreSettings,
    /// Propagation delay of the endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListSettings,
    /// Failure detection of the external load balancer.
    #[serde(rename = "front")]
    pub load_balancer: LoadBalancerSettings,
    /// The listeners and their client traffic.
    pub listeners: Vec<Spanned<ListenerSpec>>,
    /// The scheduled faults.
    pub faults: Vec<Spanned<FaultSpec>>,
    /// Conditions checked at the end of the run, in addition to the rules.
    #[serde(rename = "must")]
    pub requirements: Requirements,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "unnamed".into(),
            about: String::new(),
            seed: 1,
            length: ConfigDuration::from_millis(20_000),
            proxies: ProxyFleet::default(),
            rules: ProxyRules::default(),
            servers: vec![Spanned::new(0..0, ServerGroup::default())],
            session_store: SessionStoreSettings::default(),
            endpoint_list: EndpointListSettings::default(),
            load_balancer: LoadBalancerSettings::default(),
            listeners: vec![Spanned::new(0..0, ListenerSpec::default())],
            faults: Vec::new(),
            requirements: Requirements::default(),
        }
    }
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// The first syntax or type error, or otherwise all validation problems.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let position = error.span().map_or(0, |span| span.start);
            let problem = ScenarioProblem::at(text, position, "", error.message().trim());
            ScenarioError { problems: vec![problem] }
        })?;
        let problems = scenario.validate(text);
        if problems.is_empty() { Ok(scenario) } else { Err(ScenarioError { problems }) }
    }

    /// When a run ends: one second after the last arrivals, so that established sessions can end.
    pub fn end(&self) -> Timestamp {
        self.length.0 + SECOND
    }

    /// The number of servers in all groups.
    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|group| group.get_ref().count).sum()
    }

    /// Whether the proxy with this index runs in the moved shape ([`ProxyFleet::moved`]).
    pub fn is_moved_shape(&self, proxy: usize) -> bool {
        proxy + self.proxies.moved >= self.proxies.count
    }

    /// The zone name of the proxy or server with this index.
    pub fn zone(&self, index: usize) -> String {
        char::from(b'a' + (index % self.proxies.zones) as u8).to_string()
    }

    /// The group of each server, in order of the server index.
    pub fn server_groups_by_index(&self) -> impl Iterator<Item = &ServerGroup> {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(group.get_ref(), group.get_ref().count))
    }

    /// An upper bound for the mean number of sessions established at the same time.
    pub fn expected_sessions(&self) -> usize {
        let sessions = |listener: &ListenerSpec| {
            let stay = self.length.0.min(listener.mean_session_duration.0) as f64;
            let arrivals = listener.arrivals_per_second * stay / SECOND as f64;
            listener.initial_clients + arrivals.ceil() as usize
        };
        self.listeners.iter().map(|listener| sessions(listener.get_ref())).sum()
    }

    fn validate(&self, text: &str) -> Vec<ScenarioProblem> {
        let mut collector = ProblemCollector::new(text);
        if self.length.0 == 0 {
            collector.add("length", "must be greater than 0");
        }
        validation::check_proxies(&self.proxies, &self.requirements, &mut collector);
        validation::check_rules(&self.rules, &mut collector);
        validation::check_session_store(&self.session_store, &mut collector);
        validation::check_requirements(&self.requirements, &self.faults, &mut collector);
        let listed: Vec<_> = self.server_groups_by_index().map(|server| server.listed).collect();
        validation::check_server_count(listed.len(), listed.contains(&true), &mut collector);
        for group in &self.servers {
            validation::check_server_group(group, &mut collector);
        }
        for (index, listener) in self.listeners.iter().enumerate() {
            validation::check_listener(listener, &self.listeners[..index], &mut collector);
        }
        let targets = FaultTargets { proxies: &self.proxies, listed: &listed };
        for fault in &self.faults {
            validation::check_fault(fault, self.length, &targets, &mut collector);
        }
        collector.problems
    }
}
