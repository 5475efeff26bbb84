use std::path::Path;

use super::*;

fn read(text: &str) -> Result<Scenario, String> {
    let lines =
        |errors: Vec<ScenarioError>| errors.iter().map(|error| format!("{error}\n")).collect::<String>();
    Scenario::read(Path::new("s.yaml"), text).map_err(lines)
}

#[test]
fn missing_keys_have_defaults_and_given_keys_are_read() {
    let scenario = read(
        "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\nevents:\n  - {at: 2.5, kill: {share: 0.7, back_s: 0.5}}\n",
    )
    .expect("valid scenario");
    assert_eq!((scenario.cells, scenario.width, scenario.zones, scenario.parts), (6, 2, 1, 4));
    let restart_delay = Duration::from_millis(500);
    let kill = Event { at: Duration::from_millis(2500), fault: Fault::Kill { share: 0.7, restart_delay } };
    assert_eq!(scenario.events, [kill]);
}

// Every scenario that the repository ships is valid, its events expand to actions, and these end before the
// clients do.
#[test]
fn the_scenarios_of_the_repository_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut seen = 0;
    for entry in std::fs::read_dir(directory).expect("scenario directory") {
        let path = entry.expect("read").path();
        let text = std::fs::read_to_string(&path).expect("read");
        let scenario = Scenario::read(&path, &text).unwrap_or_else(|errors| panic!("{errors:?}"));
        let schedule = crate::schedule::Schedule::new(&scenario);
        assert_eq!(schedule.actions.is_empty(), scenario.events.is_empty(), "{}", path.display());
        assert!(
            schedule.end() < Duration::from_secs(scenario.seconds),
            "{}: ends after the clients",
            path.display()
        );
        seen += 1;
    }
    assert!(seen >= 7, "{seen} scenarios");
}

#[test]
fn upgrades_and_drains_are_read_for_one_broker_or_a_share() {
    let scenario = read(
        "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\npooled: true\nevents:\n  \
        - {at: 1, upgrade: {broker: 3}}\n  - {at: 1, upgrade: {share: 0.5, every_s: 1.5}}\n  \
        - {at: 2, drain: {broker: 0, for_s: 5}}\n  - {at: 2, drain: {share: 1, every_s: 0, for_s: 6}}\n",
    )
    .expect("valid scenario");
    let faults: Vec<Fault> = scenario.events.into_iter().map(|event| event.fault).collect();
    let (interval, seconds) = (Duration::from_millis(1500), Duration::from_secs);
    let expected = [
        Fault::Upgrade { brokers: Brokers::One(3), interval: Duration::ZERO },
        Fault::Upgrade { brokers: Brokers::Share(0.5), interval },
        Fault::Drain { brokers: Brokers::One(0), interval: Duration::ZERO, duration: seconds(5) },
        Fault::Drain { brokers: Brokers::Share(1.0), interval: Duration::ZERO, duration: seconds(6) },
    ];
    assert!(scenario.pooled);
    assert_eq!(faults, expected);
}

#[test]
fn upgrades_and_drains_with_invalid_brokers_or_times_are_rejected() {
    let text = "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\nevents:\n  \
        - {at: 1, upgrade: {broker: 4}}\n  - {at: 1, upgrade: {}}\n  - {at: 1, upgrade: {share: 0.5}}\n  \
        - {at: 1, upgrade: {share: 0, every_s: 1}}\n  - {at: 1, upgrade: {broker: 1, share: 1, every_s: 1}}\n  \
        - {at: 1, upgrade: {broker: 1, every_s: 1}}\n  - {at: 1, upgrade: {broker: 1, for_s: 1}}\n  \
        - {at: 1, drain: {broker: 1}}\n  - {at: 1, drain: {broker: 1, for_s: 4}}\n";
    let expected = "s.yaml: line 6: events[0].upgrade.broker: must be 0 to 3\n\
        s.yaml: line 7: events[1].upgrade: must set either `broker` or `share`\n\
        s.yaml: line 8: events[2].upgrade.every_s: is missing\n\
        s.yaml: line 9: events[3].upgrade.share: must be 0.01 to 1\n\
        s.yaml: line 10: events[4].upgrade: must set either `broker` or `share`\n\
        s.yaml: line 11: events[5].upgrade.every_s: must not be set for a single broker\n\
        s.yaml: line 12: events[6].upgrade.for_s: must not be set for an upgrade\n\
        s.yaml: line 13: events[7].drain.for_s: is missing\n\
        s.yaml: line 14: events[8].drain.for_s: must be over 4\n";
    assert_eq!(read(text).expect_err("invalid scenario"), expected);
    let unknown = read(
        "brokers: 1\nservers: 1\nrate: 1\nseconds: 1\nevents:\n  - {at: 1, drain: {broker: 0, back_s: 5}}\n",
    );
    let unknown = unknown.expect_err("invalid scenario");
    assert!(unknown.starts_with("s.yaml: line 6: ") && unknown.contains("back_s"), "{unknown}");
}

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = "brokers: 0\nservers: 6\nzones: 2\nrate: -1\nseconds: 9\nevents:\n  - at: 1\n    \
        kill: {share: 7, back_s: 1}\n  - at: 2\n  - at: 3\n    lose_zone: {zone: 2, for_s: 1}\n  \
        - at: 4\n    roll: {share: 0.1}\n";
    let expected = "s.yaml: line 1: brokers: must be 1 to 100\n\
        s.yaml: line 4: rate: must be 0.1 to 1000\n\
        s.yaml: line 8: events[0].kill.share: must be 0 to 1\n\
        s.yaml: line 9: events[1]: must contain exactly one fault, has 0\n\
        s.yaml: line 11: events[2].lose_zone.zone: must be 0 to 1\n\
        s.yaml: line 12: events[3].roll.every_s: is missing\n";
    assert_eq!(read(text).expect_err("invalid scenario"), expected);
    let unknown =
        read("brokers: 1\nservers: 1\nrate: 1\nseconds: 1\nseeds: 4\n").expect_err("invalid scenario");
    assert!(unknown.starts_with("s.yaml: line 5: ") && unknown.contains("seeds"), "{unknown}");
    assert!(read("").is_err() && read("- 1").is_err() && read("brokers: {").is_err());
}
