//! The scenarios that are compiled into the command.
use larklink_simulation::scenario::Scenario;

/// A scenario file that is compiled into the program.
pub(crate) struct BuiltInScenario {
    /// The name on the command line, which is also the file name without extension.
    pub(crate) name: &'static str,
    /// The contents of the file.
    pub(crate) text: &'static str,
}

macro_rules! built_in {
    ($($name:literal),* $(,)?) => {
        [$(BuiltInScenario {
            name: $name,
            text: include_str!(concat!("../../../scenarios/", $name, ".toml")),
        }),*]
    };
}

/// All built-in scenarios, sorted by name.
const BUILT_IN: [BuiltInScenario; 18] = built_in![
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

/// The contents of the built-in scenario with this name, if there is one.
pub(crate) fn text(name: &str) -> Option<&'static str> {
    BUILT_IN.iter().find(|scenario| scenario.name == name).map(|scenario| scenario.text)
}

/// Prints the name, length and description of each scenario on a line.
pub(crate) fn print_list() {
    for built_in in &BUILT_IN {
        let Ok(scenario) = Scenario::parse(built_in.text) else { continue };
        println!("{:16} {:>4}  {}", built_in.name, scenario.length.to_string(), scenario.about);
    }
}
