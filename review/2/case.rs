//! One tile server states too short a length for its answers. No client may get a value that no tile server made.

use super::*;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let settings = Settings::parcel_viewer();
    let tiles = Tiles::new(record, ms(100));
    let ring = ring(&tiles)?;
    let agent = Agent::start(record)?;
    ring.iter().for_each(|tile| agent.set(tile, "up"));
    let mut broker = broker_with_agent(setup, &settings, &agent)?;
    let mut client = Client::new(record, broker.listen);
    let mut wrong = 0;
    for n in 0..60_u32 {
        if n == 20 && setup.trouble {
            *lock(&ring[4].manner) = Manner::ShortLength;
            record.add("from now on s-04 states too short a length for each answer");
        }
        let (class, count) = [(0, 4), (1, 1)][n as usize % 2];
        let class = &settings.classes[class];
        let asked = client.ask(class, &shards_from(n * 5, count), class.deadline_ms);
        let Some(answer) = asked.answer.filter(|answer| answer.status == 200) else { continue };
        for (shard, value) in pieces(&answer.body) {
            let made = part_value(shard, &asked.text);
            if value != made {
                wrong += 1;
                record.add(&format!(
                    "WRONG: shard {shard} is {value:?} in the answer; its tile server made {made:?}"
                ));
            }
        }
    }
    if broker.has_ended() {
        return Err("the broker has ended".into());
    }
    record.add(&format!("{wrong} values in served answers are not what a tile server made"));
    Ok(wrong == 0)
}
