//! Validation of the configuration, and the precedence of the admin address.
use larklink_proxy::config::Config;

#[test]
fn an_invalid_configuration_is_a_descriptive_error() {
    let read = |text: &str| serde_json::from_str::<Config>(text).map_err(|e| e.to_string());
    let valid =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964","settings":{}}"#;
    assert_eq!(read(valid).unwrap().seed, 0x8c1f30d27a5be964);
    assert!(read(&valid.replace("8c1f", "xyz")).unwrap_err().contains("not a hex number"));
    assert!(read(&valid.replace("127.0.0.1:0", "localhost")).is_err());
    assert!(read("{").is_err());
}

#[test]
fn the_admin_address_in_the_environment_overrides_the_configured_one() {
    let config = |console| {
        serde_json::from_str::<Config>(&format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",{console}"settings":{{}}}}"#
        ))
    };
    let overridden = |value| {
        config(r#""console":"127.0.0.1:3","#).unwrap().with_admin_address(value).map(|c| c.admin_address)
    };
    assert_eq!(overridden(None).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(overridden(Some("")).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(overridden(Some("127.0.0.1:4")).unwrap(), "127.0.0.1:4".parse().ok());
    assert!(overridden(Some("4")).unwrap_err().to_string().contains("ROUTER_CONSOLE: \"4\""));
    assert_eq!(config("").unwrap().admin_address, None);
    assert!(config(r#""console":"localhost","#).unwrap_err().to_string().contains("socket address"));
}
