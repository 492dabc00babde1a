//! The configuration: what makes it invalid, and which admin address counts.
use larklink_proxy::config::Config;

#[test]
fn an_invalid_configuration_is_an_error_that_says_why() {
    let read = |text: &str| serde_json::from_str::<Config>(text).map_err(|e| e.to_string());
    let good =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964","settings":{}}"#;
    assert_eq!(read(good).unwrap().seed, 0x8c1f30d27a5be964);
    assert!(read(&good.replace("8c1f", "oh no")).unwrap_err().contains("not a hex number"));
    assert!(read(&good.replace("127.0.0.1:0", "here")).is_err());
    assert!(read("{").is_err());
}

#[test]
fn the_environment_goes_before_the_file_for_the_admin_address() {
    let config = |console| {
        serde_json::from_str::<Config>(&format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",{console}"settings":{{}}}}"#
        ))
    };
    let here = |given| {
        config(r#""console":"127.0.0.1:3","#).unwrap().with_admin_address(given).map(|c| c.admin_address)
    };
    assert_eq!(here(None).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("")).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("127.0.0.1:4")).unwrap(), "127.0.0.1:4".parse().ok());
    assert!(here(Some("4")).unwrap_err().to_string().contains("ROUTER_CONSOLE: \"4\""));
    assert_eq!(config("").unwrap().admin_address, None);
    assert!(config(r#""console":"nowhere","#).unwrap_err().to_string().contains("socket address"));
}
