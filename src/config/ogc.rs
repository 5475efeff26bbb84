//! The OGC front's file: where it listens, its feature types, and the inventory of servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::ConfigError;
use super::settings::SiteSettings;
use crate::interface::RetrySafety;

/// Features on a page where the request names no number.
const COUNT: u32 = 100;
const CRS: &str = "urn:ogc:def:crs:EPSG::27700";

/// The OGC front as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct OgcConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The inventory of servers, which then stands in for discovery.
    pub inventory: Option<PathBuf>,
    /// Prefix of the features' names.
    pub prefix: String,
    /// Namespace of the features' names.
    pub namespace: String,
    /// The one coordinate system spoken.
    pub crs: String,
    /// Features on a page at the most.
    pub page_size: u32,
    /// Feature types.
    pub feature_types: Vec<FeatureType>,
}

/// A feature type: what is asked as one class of query, a feature for each tile block.
#[derive(Clone, Debug, PartialEq)]
pub struct FeatureType {
    /// Its name, without the prefix.
    pub name: String,
    /// Its title.
    pub title: String,
    /// Index of its class.
    pub class: usize,
    /// Where its tile blocks lie.
    pub grid: Grid,
}

/// Tile blocks in rows and columns, numbered from the lower left, row by row.
#[derive(Clone, Debug, PartialEq)]
pub struct Grid {
    /// Lower left and upper right corner.
    pub extent: [f64; 4],
    /// Blocks in a row.
    pub columns: u32,
    /// Rows.
    pub rows: u32,
    /// Number of the first block.
    pub first_block: u32,
}

impl Grid {
    /// All blocks.
    pub fn blocks(&self) -> std::ops::Range<u32> {
        self.first_block..self.first_block + self.columns * self.rows
    }

    /// Where a block lies.
    pub fn extent_of(&self, block: u32) -> [f64; 4] {
        let place = block.saturating_sub(self.first_block);
        let (column, row) = (f64::from(place % self.columns), f64::from(place / self.columns));
        let [west, south, east, north] = self.extent;
        let (width, height) =
            ((east - west) / f64::from(self.columns), (north - south) / f64::from(self.rows));
        [
            west + column * width,
            south + row * height,
            west + (column + 1.0) * width,
            south + (row + 1.0) * height,
        ]
    }

    /// The blocks that share an area with a box.
    pub fn blocks_in(&self, area: [f64; 4]) -> BTreeSet<u32> {
        let meets = |block: &u32| {
            let [west, south, east, north] = self.extent_of(*block);
            west < area[2] && east > area[0] && south < area[3] && north > area[1]
        };
        self.blocks().filter(meets).collect()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    listen: Option<Spanned<String>>,
    #[serde(default)]
    inventory: Option<String>,
    namespace: Namespace,
    #[serde(default)]
    crs: Option<String>,
    #[serde(default)]
    count: Option<Spanned<u32>>,
    feature_types: Vec<TypeFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Namespace {
    prefix: Spanned<String>,
    uri: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TypeFile {
    name: Spanned<String>,
    #[serde(default)]
    title: String,
    class: Spanned<String>,
    grid: Spanned<GridFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GridFile {
    extent: [f64; 4],
    columns: u32,
    rows: u32,
    #[serde(default)]
    first_block: u32,
}

impl OgcConfig {
    /// Reads the front's file; none if the front is off, and then no more of it is checked.
    ///
    /// # Errors
    ///
    /// Names the file, the line and the key of each fault.
    pub fn read(path: &Path, text: &str, settings: &SiteSettings) -> Result<Option<Self>, Vec<ConfigError>> {
        let file_name = path.display().to_string();
        let fault = |line: u64, key: String, fault: String| ConfigError {
            location: format!("{file_name}: line {line}"),
            key,
            problem: fault,
        };
        let file: File = serde_saphyr::from_str(text).map_err(|error| {
            let line = error.location().map_or(1, |at| at.line());
            vec![fault(line, String::new(), yaml_message(&error))]
        })?;
        // On the platform there may be other classes and blocks than those named here.
        let Some(at) = file.listen else { return Ok(None) };
        let mut faults = Vec::new();
        let listen = at.value.parse().map_err(|_| {
            faults.push(fault(
                at.referenced.line(),
                "listen".into(),
                format!("{:?} is no address", at.value),
            ));
        });
        let prefix = file.namespace.prefix;
        if !is_name(&prefix.value) {
            let key = "namespace.prefix".into();
            let why = "must be an XML name without a colon".into();
            faults.push(fault(prefix.referenced.line(), key, why));
        }
        if let Some(count) = file.count.as_ref().filter(|count| count.value == 0) {
            faults.push(fault(count.referenced.line(), "count".into(), "must be above zero".into()));
        }
        let mut types: Vec<FeatureType> = Vec::new();
        for (index, described) in file.feature_types.into_iter().enumerate() {
            let key = |key: &str| format!("feature_types[{index}].{key}");
            let TypeFile { name, title, class, grid } = described;
            if !is_name(&name.value) || types.iter().any(|t| t.name == name.value) {
                let why = "must be an XML name without a colon, and used once";
                faults.push(fault(name.referenced.line(), key("name"), why.into()));
            }
            let line = class.referenced.line();
            let known = settings.classes.iter().position(|known| *known == class.value);
            if known.is_none() {
                faults.push(fault(line, key("class"), "no such class".into()));
            }
            let class = known.unwrap_or_default();
            // A feature query is a read: it must never reach a class that writes.
            let writes = |class: usize| {
                settings.router.classes.get(class).map(|c| c.retry_safety) != Some(RetrySafety::Safe)
            };
            if known.is_some_and(writes) {
                faults.push(fault(line, key("class"), "is a class that writes".into()));
            }
            let GridFile { extent, columns, rows, first_block: first } = grid.value;
            let line = grid.referenced.line();
            let sound =
                extent.iter().all(|x| x.is_finite()) && extent[0] < extent[2] && extent[1] < extent[3];
            if !sound {
                faults.push(fault(line, key("grid.extent"), "must be west, south, east, north".into()));
            }
            let blocks = u64::from(columns) * u64::from(rows);
            if blocks == 0 || u64::from(first) + blocks > u64::from(settings.router.shards) {
                let why =
                    format!("holds {blocks} blocks from {first} on; there are {}", settings.router.shards);
                faults.push(fault(line, key("grid"), why));
            }
            let grid = Grid { extent, columns, rows, first_block: first };
            types.push(FeatureType { name: name.value, title, class, grid });
        }
        let beside = |name: String| path.parent().unwrap_or(Path::new("")).join(name);
        let (Ok(listen), true) = (listen, faults.is_empty()) else { return Err(faults) };
        Ok(Some(OgcConfig {
            listen,
            inventory: file.inventory.map(beside),
            prefix: prefix.value,
            namespace: file.namespace.uri,
            crs: file.crs.unwrap_or_else(|| CRS.to_owned()),
            page_size: file.count.map_or(COUNT, |count| count.value),
            feature_types: types,
        }))
    }
}

/// What a YAML error says, on one line.
pub fn yaml_message(error: &serde_saphyr::Error) -> String {
    let text = error.without_snippet().to_string();
    text.lines().next().unwrap_or("not YAML").trim_start_matches("error: ").to_owned()
}

fn is_name(text: &str) -> bool {
    let inner = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    text.starts_with(|c: char| c.is_ascii_alphabetic()) && text.chars().all(inner)
}
