//! The deployments in `deploy/sites/`: each is whole, and its settings, put in the words of its own `wire.json`, are read as
//! its site file has them.
use std::path::{Path, PathBuf};

use larklink_balancer::Idempotency;
use larklink_engine::settings::{ProxySettings, tenths};
use serde_json::{Map, Value, json};

fn sites() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let entries = std::fs::read_dir(root).unwrap().map(|e| e.unwrap().path());
    entries.filter(|path| path.is_dir()).collect()
}

fn json_of(path: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(path).unwrap())
        .unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn each_deployment_of_our_own_is_whole_and_its_settings_are_read() {
    assert!(sites().len() >= 2);
    for dir in sites() {
        let name = dir.file_name().unwrap().to_str().unwrap();
        let text = std::fs::read_to_string(dir.join(format!("{name}.toml"))).unwrap();
        let site: toml::Table = text.parse().unwrap_or_else(|e| panic!("{name}: {e}"));
        let site = serde_json::to_value(site).unwrap();
        assert_eq!((&site["name"], &site["wire"]), (&json!(name), &json!("wire.json")));
        assert!(dir.join("unlock.txt").exists(), "{name}: unlock.txt");
        let real = json_of(&dir.join("real.json"));
        let (list, states) = (&real["f"], &real["states"]);
        assert_eq!((&real["env"], &real["paths"]["list"]), (&json!("ROUTER"), &json!("/api/targets")));
        for (key, word) in [("id", "name"), ("version", "index"), ("full", "snapshot"), ("state", "status")] {
            assert_eq!(list[key], word, "{name}: f.{key}");
        }
        assert_eq!(states, &json!({"ready": "up", "draining": "draining", "gone": "removed"}), "{name}");

        let wire = json_of(&dir.join("wire.json"));
        let word = |key: &str| match &wire["init"]["rename"][key] {
            Value::String(word) => word.clone(),
            _ => key.to_owned(),
        };
        let ns = |ms: &Value| ms.as_i64().unwrap() * 1_000_000;
        let span = |key: &str| format!("{}_ns", word(key));
        let grade = |c: &Value| {
            let effect = wire["init"]["words"][c["effect"].as_str().unwrap()].clone();
            let mut grade = Map::new();
            grade.insert(word("name"), c["name"].clone());
            grade.insert(word("worth"), c["worth"].clone());
            grade.insert(word("effect"), effect);
            grade.insert(span("aim"), json!(ns(&c["aim_ms"])));
            grade.insert(span("deadline"), json!(ns(&c["deadline_ms"])));
            Value::Object(grade)
        };
        let (classes, rules, tier) = (site["class"].as_array().unwrap(), &site["rules"], &site["tier"][0]);
        let object = |pairs: Vec<(String, Value)>| Value::Object(pairs.into_iter().collect());
        let settings = object(vec![
            (word("classes"), classes.iter().map(grade).collect()),
            (word("zones"), site["net"]["zones"].clone()),
            (word("report"), object(vec![(word("fields"), tier["report"]["fields"].clone())])),
            (
                word("rules"),
                object(vec![
                    ("fall_multiple".into(), rules["fall_multiple"].clone()),
                    ("drain_grace_ns".into(), json!(ns(&rules["drain_grace_ms"]))),
                    (span("fall"), json!(ns(&rules["fall_ms"]))),
                ]),
            ),
            (
                word("limits"),
                object(vec![
                    (word("probes"), site["allow"]["probes"].clone()),
                    (word("max_attempts"), site["allow"]["max_attempts"].clone()),
                    (span("connect_timeout"), json!(ns(&tier["conn"]["connect_timeout_ms"]))),
                ]),
            ),
        ]);
        let facts =
            ProxySettings::read(settings.to_string().as_bytes()).unwrap_or_else(|e| panic!("{name}: {e}"));
        let set = &facts.settings;
        let names: Vec<_> = classes.iter().map(|c| c["name"].as_str().unwrap()).collect();
        assert_eq!(facts.listeners, names);
        assert!(set.listeners.iter().all(|l| l.idempotency == Idempotency::Idempotent
            && l.priority_weight > 0.0
            && l.handshake_objective > 0));
        assert_eq!(json!(facts.zones), site["net"]["zones"]);
        assert_eq!(json!(set.overload_multiple), json!(rules["fall_multiple"].as_f64().unwrap()));
        assert_eq!(set.drain_grace, tenths(ns(&rules["drain_grace_ms"])));
        assert_eq!(set.overload_window, tenths(ns(&rules["fall_ms"])));
        assert_eq!(set.connect_timeout, tenths(ns(&tier["conn"]["connect_timeout_ms"])));
        assert_eq!(json!(set.max_attempts), site["allow"]["max_attempts"]);
        assert!(set.health_checks && set.load_reports && facts.longest > 0, "{name}: load is told by probes");
    }
}
