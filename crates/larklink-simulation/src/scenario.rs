//! A scenario: fleet, listeners, traffic, faults by time, and what must hold. TOML; what is left out has a default,
//! what is unknown is rejected, and everything wrong is reported at once with its line.
use serde::Deserialize;
use toml::Spanned;

use crate::duration::{ConfigDuration, SECOND};
use crate::scenario::validation::{FaultTargets, Findings};
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

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// The seed of a run, if it is given no other.
    pub seed: u64,
    /// For how long new clients come and faults happen.
    pub length: ConfigDuration,
    /// The proxies.
    pub proxies: ProxyFleet,
    /// What the proxies have to keep.
    pub rules: ProxyRules,
    /// The servers, in groups of equal ones.
    pub servers: Vec<Spanned<ServerGroup>>,
    /// The session store.
    #[serde(rename = "store")]
    pub session_store: SessionStoreSettings,
    /// The endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListSettings,
    /// The external load balancer.
    #[serde(rename = "front")]
    pub load_balancer: LoadBalancerSettings,
    /// The listeners.
    pub listeners: Vec<Spanned<ListenerSpec>>,
    /// The faults.
    pub faults: Vec<Spanned<FaultSpec>>,
    /// What must hold at the end, beside the rules.
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
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// All that is wrong with it; of its form only what comes first.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let position = error.span().map_or(0, |span| span.start);
            let problem = ScenarioProblem::at(text, position, "", error.message().trim());
            ScenarioError { problems: vec![problem] }
        })?;
        let problems = scenario.check(text);
        if problems.is_empty() { Ok(scenario) } else { Err(ScenarioError { problems }) }
    }

    /// When a run ends: what is established may end for a second after the last clients have come.
    pub fn end(&self) -> Timestamp {
        self.length.0 + SECOND
    }

    /// How many servers there are.
    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|group| group.get_ref().count).sum()
    }

    /// Whether the proxy of that number is one of the moved shape.
    pub fn moved(&self, proxy: usize) -> bool {
        proxy + self.proxies.moved >= self.proxies.count
    }

    /// The name of the zone in which the proxy or server of that number lies.
    pub fn zone(&self, number: usize) -> String {
        char::from(b'a' + (number % self.proxies.zones) as u8).to_string()
    }

    /// The group of each server, in their order.
    pub fn each_server(&self) -> impl Iterator<Item = &ServerGroup> {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(group.get_ref(), group.get_ref().count))
    }

    /// The mean number of sessions that are established at once, at most.
    pub fn expected_sessions(&self) -> usize {
        let sessions = |listener: &ListenerSpec| {
            let stay = self.length.0.min(listener.mean_stay.0) as f64;
            let coming = listener.arrivals_per_second * stay / SECOND as f64;
            listener.initial_clients + coming.ceil() as usize
        };
        self.listeners.iter().map(|listener| sessions(listener.get_ref())).sum()
    }

    fn check(&self, text: &str) -> Vec<ScenarioProblem> {
        let mut found = Findings::new(text);
        if self.length.0 == 0 {
            found.add("length", "a run of no length shows nothing");
        }
        validation::check_proxies(&self.proxies, &self.requirements, &mut found);
        validation::check_rules(&self.rules, &mut found);
        validation::check_session_store(&self.session_store, &mut found);
        validation::check_requirements(&self.requirements, &self.faults, &mut found);
        let listed: Vec<_> = self.each_server().map(|server| server.listed).collect();
        validation::check_server_count(listed.len(), listed.contains(&true), &mut found);
        for group in &self.servers {
            validation::check_server_group(group, &mut found);
        }
        for (index, listener) in self.listeners.iter().enumerate() {
            validation::check_listener(listener, &self.listeners[..index], &mut found);
        }
        let targets = FaultTargets { proxies: &self.proxies, listed: &listed };
        for fault in &self.faults {
            validation::check_fault(fault, self.length, &targets, &mut found);
        }
        found.problems
    }
}
