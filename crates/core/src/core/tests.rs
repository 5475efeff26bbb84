use super::*;

// Guards the memory of a long day, on which servers are replaced by others under new names: what is kept
// by a server's name goes with it, whether it is said to be gone or left out of a whole list.
#[test]
fn servers_that_are_gone_are_forgotten() {
    let config = include_str!("../../../../tests/exchanges/config.json");
    let config: serde_json::Value = serde_json::from_str(config).expect("JSON");
    let settings = SiteSettings::read(&config["settings"]).expect("sound");
    let mut core = Core::new(Arc::new(settings), 1).expect("sound");
    let member =
        |name: &str, state| Member { name: name.into(), zone: "z".into(), cell: 0, state, started: None };
    for number in 0..100 {
        let (old, new) = (format!("s-{number}"), format!("s-{}", number + 1));
        core.apply_server_list(number % 10 == 0, number, &[member(&new, ServerState::Up)], None);
        core.apply_server_list(false, number, &[member(&old, ServerState::Removed)], None);
    }
    assert_eq!((core.ids.len(), core.servers.len(), core.server_counts()), (1, 1, (1, 0)));
    let id = core.server_id("s-100");
    core.apply_server_list(true, 1, &[member("s-100", ServerState::Up)], None);
    assert_eq!(core.server_id("s-100"), id);
}
