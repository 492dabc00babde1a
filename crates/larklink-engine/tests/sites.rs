//! Tests of the deployments in `deploy/sites/`: each is complete, and the settings object built from its site
//! file with the field names of its `wire.json` is read back with the same values.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

use larklink_balancer::{Idempotency, TickDuration};
use larklink_engine::settings::ProxySettings;
use larklink_engine::units::ticks_from_nanos;
use serde_json::{Map, Value, json};

fn site_folders() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let entries = std::fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path());
    entries.filter(|path| path.is_dir()).collect()
}

fn read_json(path: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(path).unwrap())
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn nanos_from_millis(millis: &Value) -> i64 {
    millis.as_i64().unwrap() * 1_000_000
}

fn object(pairs: Vec<(String, Value)>) -> Value {
    Value::Object(pairs.into_iter().collect())
}

/// The files of a deployment.
struct Site {
    name: String,
    site: Value,
    wire: Value,
}

impl Site {
    fn read(folder: &Path) -> Self {
        let name = folder.file_name().unwrap().to_str().unwrap().to_owned();
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
        let site: toml::Table = text.parse().unwrap_or_else(|error| panic!("{name}: {error}"));
        let site = serde_json::to_value(site).unwrap();
        let wire = read_json(&folder.join("wire.json"));
        Self { name, site, wire }
    }

    fn classes(&self) -> &Vec<Value> {
        self.site["class"].as_array().unwrap()
    }

    /// Returns the field name that the settings object uses for a key.
    fn field_name(&self, key: &str) -> String {
        match &self.wire["init"]["rename"][key] {
            Value::String(name) => name.clone(),
            _ => key.to_owned(),
        }
    }

    /// Returns the field name for the key of a duration.
    fn duration_field_name(&self, key: &str) -> String {
        format!("{}_ns", self.field_name(key))
    }

    fn listener_object(&self, class: &Value) -> Value {
        let effect = self.wire["init"]["words"][class["effect"].as_str().unwrap()].clone();
        let mut listener = Map::new();
        listener.insert(self.field_name("name"), class["name"].clone());
        listener.insert(self.field_name("worth"), class["worth"].clone());
        listener.insert(self.field_name("effect"), effect);
        listener.insert(self.duration_field_name("aim"), json!(nanos_from_millis(&class["aim_ms"])));
        listener
            .insert(self.duration_field_name("deadline"), json!(nanos_from_millis(&class["deadline_ms"])));
        Value::Object(listener)
    }

    fn settings_object(&self) -> Value {
        let rules = &self.site["rules"];
        let tier = &self.site["tier"][0];
        let allow = &self.site["allow"];
        let connect_timeout = nanos_from_millis(&tier["conn"]["connect_timeout_ms"]);
        let rules = object(vec![
            ("fall_multiple".into(), rules["fall_multiple"].clone()),
            ("drain_grace_ns".into(), json!(nanos_from_millis(&rules["drain_grace_ms"]))),
            (self.duration_field_name("fall"), json!(nanos_from_millis(&rules["fall_ms"]))),
        ]);
        let limits = object(vec![
            (self.field_name("probes"), allow["probes"].clone()),
            (self.field_name("max_attempts"), allow["max_attempts"].clone()),
            (self.duration_field_name("connect_timeout"), json!(connect_timeout)),
        ]);
        let report = object(vec![(self.field_name("fields"), tier["report"]["fields"].clone())]);
        object(vec![
            (
                self.field_name("classes"),
                self.classes().iter().map(|class| self.listener_object(class)).collect(),
            ),
            (self.field_name("zones"), self.site["net"]["zones"].clone()),
            (self.field_name("report"), report),
            (self.field_name("rules"), rules),
            (self.field_name("limits"), limits),
        ])
    }
}

fn assert_is_complete(folder: &Path, site: &Site) {
    let name = &site.name;
    assert_eq!((&site.site["name"], &site.site["wire"]), (&json!(name), &json!("wire.json")));
    assert!(folder.join("unlock.txt").exists(), "{name}: unlock.txt");
    let real = read_json(&folder.join("real.json"));
    let list = &real["f"];
    assert_eq!((&real["env"], &real["paths"]["list"]), (&json!("ROUTER"), &json!("/api/targets")));
    for (key, word) in [("id", "name"), ("version", "index"), ("full", "snapshot"), ("state", "status")] {
        assert_eq!(list[key], word, "{name}: f.{key}");
    }
    let states = json!({"ready": "up", "draining": "draining", "gone": "removed"});
    assert_eq!(real["states"], states, "{name}");
}

fn assert_settings_are_read(site: &Site) {
    let name = &site.name;
    let rules = &site.site["rules"];
    let allow = &site.site["allow"];
    let proxy = ProxySettings::from_json(site.settings_object().to_string().as_bytes())
        .unwrap_or_else(|error| panic!("{name}: {error}"));
    let balancer = &proxy.balancer;
    let names: Vec<_> = site.classes().iter().map(|class| class["name"].as_str().unwrap()).collect();
    assert_eq!(proxy.listeners, names);
    assert!(balancer.listeners.iter().all(|listener| listener.idempotency == Idempotency::Idempotent
        && listener.priority_weight > 0.0
        && listener.handshake_objective > TickDuration::ZERO));
    assert_eq!(json!(proxy.zones), site.site["net"]["zones"]);
    assert_eq!(json!(balancer.overload_multiple), json!(rules["fall_multiple"].as_f64().unwrap()));
    let ticks = |millis: &Value| ticks_from_nanos(nanos_from_millis(millis));
    assert_eq!(balancer.drain_grace, ticks(&rules["drain_grace_ms"]));
    assert_eq!(balancer.overload_window, ticks(&rules["fall_ms"]));
    assert_eq!(balancer.connect_timeout, ticks(&site.site["tier"][0]["conn"]["connect_timeout_ms"]));
    assert_eq!(json!(balancer.max_attempts), allow["max_attempts"]);
    assert!(
        balancer.health_checks && balancer.load_reports && proxy.max_dial_timeout > TickDuration::ZERO,
        "{name}: load is reported by health checks"
    );
}

#[test]
fn each_site_is_complete_and_its_settings_are_read() {
    let folders = site_folders();
    assert!(folders.len() >= 2);
    for folder in folders {
        let site = Site::read(&folder);
        assert_is_complete(&folder, &site);
        assert_settings_are_read(&site);
    }
}
