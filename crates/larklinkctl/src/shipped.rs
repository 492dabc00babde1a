//! The scenarios that ship with the command.
use larklink_simulation::scenario::Scenario;

/// A scenario file that is part of the program.
pub(crate) struct ShippedScenario {
    /// The name by which it is called.
    pub(crate) name: &'static str,
    /// The text of its file.
    pub(crate) text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        [$(ShippedScenario {
            name: $name,
            text: include_str!(concat!("../../../scenarios/", $name, ".toml")),
        }),*]
    };
}

/// All of them, by name.
const SHIPPED: [ShippedScenario; 18] = shipped![
    "calm",
    "cold-herd",
    "cold-return",
    "deaf-clients",
    "killed-at-accept",
    "list-lost",
    "list-lost-late",
    "operators-call",
    "proxy-killed",
    "reload-and-stop",
    "replace-process",
    "retry-storm",
    "rolling-restart",
    "silent-fifth",
    "slow-store",
    "stops-in-turn",
    "term-start",
    "two-shapes",
];

/// The text of the scenario of that name; none if no such scenario ships.
pub(crate) fn text_of(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|shipped| shipped.name == name).map(|shipped| shipped.text)
}

/// Prints a line for each: name, length, description.
pub(crate) fn print_list() {
    for shipped in &SHIPPED {
        let Ok(scenario) = Scenario::parse(shipped.text) else { continue };
        println!("{:16} {:>4}  {}", shipped.name, scenario.length.to_string(), scenario.about);
    }
}
