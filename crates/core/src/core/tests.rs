use super::*;

// Guards against memory growth while servers are replaced by others under new names: state kept by server
// name must be dropped both when a server is listed as removed and when it is absent from a full list.
#[test]
fn state_of_removed_servers_is_dropped() {
    let config = include_str!("../../../../tests/exchanges/config.json");
    let config: serde_json::Value = serde_json::from_str(config).expect("valid JSON");
    let settings = SiteSettings::read(&config["settings"]).expect("valid");
    let mut core = Core::new(Arc::new(settings), 1).expect("valid");
    let member =
        |name: &str, state| Member { name: name.into(), zone: "z".into(), cell: 0, state, started: None };
    for number in 0..100 {
        let (old, new) = (format!("s-{number}"), format!("s-{}", number + 1));
        core.apply_server_list(number % 10 == 0, number, &[member(&new, ServerState::Up)], None);
        core.apply_server_list(false, number, &[member(&old, ServerState::Removed)], None);
    }
    assert_eq!((core.server_ids.len(), core.server_names.len(), core.server_counts()), (1, 1, (1, 0)));
    let id = core.server_id("s-100");
    core.apply_server_list(true, 1, &[member("s-100", ServerState::Up)], None);
    assert_eq!(core.server_id("s-100"), id);
}
