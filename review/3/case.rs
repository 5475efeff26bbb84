//! The inventory is saved with a stray column. No part may go to a tile server that does not hold its shard.

use super::*;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let settings = Settings::parcel_viewer();
    let tiles = Tiles::new(record, ms(100));
    let ring = ring(&tiles)?;
    let config = setup.folder.join("config.json");
    std::fs::write(&config, settings.config(None))?;
    let ogc = setup.folder.join("ogc.yaml");
    std::fs::write(
        &ogc,
        format!(
            "listen: \"{}\"\ninventory: \"inventory.csv\"\nnamespace:\n  prefix: tcm\n  uri: \"urn:review\"\n\
             feature_types:\n  - name: parcel\n    class: parcel-search\n    grid: {{ extent: [0, 0, 100, 100], \
             columns: 4, rows: 6 }}\n",
            free_address()?
        ),
    )?;
    // The stray column: each machine's place in its rack, under a heading that the file has already.
    let file = |stray: bool| {
        let mut text = format!("name,address,zone,cell,state{}\n", if stray { ",cell" } else { "" });
        for Tile { name, address, zone, cell, .. } in &ring {
            text += &format!("{name},{address},{zone},{cell},up");
            if stray {
                text += &format!(",{}", cell / 2);
            }
            text.push('\n');
        }
        text
    };
    // Saved as a whole, under another name first.
    let save = |stray: bool| -> io::Result<()> {
        std::fs::write(setup.folder.join("inventory.new"), file(stray))?;
        std::fs::rename(setup.folder.join("inventory.new"), setup.folder.join("inventory.csv"))
    };
    save(false)?;
    let env =
        [("BALANCER_CONFIG", config.display().to_string()), ("BALANCER_OGC", ogc.display().to_string())];
    let mut broker = Broker::start(&setup.root, &setup.folder, free_address()?, &env)?;
    broker.wait_up(ms(6000))?;
    let mut client = Client::new(record, broker.listen);
    let class = &settings.classes[0];
    (0..SHARDS).for_each(|first| drop(client.ask(class, &shards_from(first, 4), class.deadline_ms)));
    if setup.trouble {
        save(true)?;
        record.add(&format!("the inventory is saved with a stray column: {:?}", file(true)));
    }
    thread::sleep(ms(1500));
    (0..SHARDS).for_each(|first| drop(client.ask(class, &shards_from(first, 4), class.deadline_ms)));
    if broker.has_ended() {
        return Err("the broker has ended".into());
    }
    let strayed = lock(&tiles.sent).iter().filter(|sent| !sent.holds).count();
    record.add(&format!("{strayed} parts were sent to tile servers that do not hold their shard"));
    Ok(strayed == 0)
}
