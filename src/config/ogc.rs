//! The OGC front end's file: its address, its feature types, and the inventory of servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::ConfigError;
use super::settings::SiteSettings;
use crate::interface::RetrySafety;

/// Default number of features per page.
const DEFAULT_PAGE_SIZE: u32 = 100;
/// Default coordinate reference system: the British National Grid.
const DEFAULT_CRS: &str = "urn:ogc:def:crs:EPSG::27700";

/// Configuration of the OGC front end.
#[derive(Clone, Debug, PartialEq)]
pub struct OgcConfig {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Path of the inventory of servers; if given, it replaces discovery.
    pub inventory: Option<PathBuf>,
    /// XML namespace prefix of the feature types.
    pub prefix: String,
    /// XML namespace URI of the feature types.
    pub namespace: String,
    /// The only coordinate reference system that is supported.
    pub crs: String,
    /// Number of features per page: the default and the maximum.
    pub page_size: u32,
    /// Feature types.
    pub feature_types: Vec<FeatureType>,
}

/// A feature type. It corresponds to one class of query and has one feature per tile block.
#[derive(Clone, Debug, PartialEq)]
pub struct FeatureType {
    /// Name, without the namespace prefix.
    pub name: String,
    /// Title.
    pub title: String,
    /// Index of its class of query.
    pub class: usize,
    /// Location of its tile blocks.
    pub grid: Grid,
}

/// A grid of tile blocks, numbered row by row from the lower left.
#[derive(Clone, Debug, PartialEq)]
pub struct Grid {
    /// West, south, east and north bound, in units of the coordinate reference system.
    pub extent: [f64; 4],
    /// Number of columns.
    pub columns: u32,
    /// Number of rows.
    pub rows: u32,
    /// Number of the first block.
    pub first_block: u32,
}

impl Grid {
    /// Returns the numbers of all blocks.
    pub fn blocks(&self) -> std::ops::Range<u32> {
        self.first_block..self.first_block + self.columns * self.rows
    }

    /// Returns the bounds of a block, in the order of [`Grid::extent`].
    pub fn extent_of(&self, block: u32) -> [f64; 4] {
        let index = block.saturating_sub(self.first_block);
        let (column, row) = (f64::from(index % self.columns), f64::from(index / self.columns));
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

    /// Returns the blocks whose interiors intersect a bounding box.
    pub fn blocks_in(&self, area: [f64; 4]) -> BTreeSet<u32> {
        let intersects = |block: &u32| {
            let [west, south, east, north] = self.extent_of(*block);
            west < area[2] && east > area[0] && south < area[3] && north > area[1]
        };
        self.blocks().filter(intersects).collect()
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
    feature_types: Vec<FeatureTypeFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Namespace {
    prefix: Spanned<String>,
    uri: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FeatureTypeFile {
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
    /// Parses the front end's file. Returns `None` if the file has no `listen`, which turns the front end off; the
    /// rest of the file is then not validated.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its file, line and key.
    pub fn read(path: &Path, text: &str, settings: &SiteSettings) -> Result<Option<Self>, Vec<ConfigError>> {
        let file_name = path.display().to_string();
        let error = |line: u64, key: String, problem: String| ConfigError {
            location: format!("{file_name}: line {line}"),
            key,
            problem,
        };
        let file: File = serde_saphyr::from_str(text).map_err(|yaml_error| {
            let line = yaml_error.location().map_or(1, |at| at.line());
            vec![error(line, String::new(), yaml_message(&yaml_error))]
        })?;
        // While the front end is off, the file may name classes and blocks that this deployment does not have.
        let Some(listen) = file.listen else { return Ok(None) };
        let mut errors = Vec::new();
        let address = listen.value.parse().map_err(|_| {
            errors.push(error(
                listen.referenced.line(),
                "listen".into(),
                format!("{:?} is no address", listen.value),
            ));
        });
        let prefix = file.namespace.prefix;
        if !is_name(&prefix.value) {
            let key = "namespace.prefix".into();
            let problem = "must be an XML name without a colon".into();
            errors.push(error(prefix.referenced.line(), key, problem));
        }
        if let Some(count) = file.count.as_ref().filter(|count| count.value == 0) {
            errors.push(error(count.referenced.line(), "count".into(), "must be above zero".into()));
        }
        let mut types: Vec<FeatureType> = Vec::new();
        for (index, feature_type) in file.feature_types.into_iter().enumerate() {
            let key = |key: &str| format!("feature_types[{index}].{key}");
            let FeatureTypeFile { name, title, class, grid } = feature_type;
            if !is_name(&name.value) || types.iter().any(|t| t.name == name.value) {
                let problem = "must be a unique XML name without a colon";
                errors.push(error(name.referenced.line(), key("name"), problem.into()));
            }
            let line = class.referenced.line();
            let known = settings.classes.iter().position(|known| *known == class.value);
            if known.is_none() {
                errors.push(error(line, key("class"), "no such class".into()));
            }
            let class = known.unwrap_or_default();
            // Feature queries are reads and must never reach a class that writes.
            let writes = |class: usize| {
                settings.router.classes.get(class).map(|c| c.retry_safety) != Some(RetrySafety::Safe)
            };
            if known.is_some_and(writes) {
                errors.push(error(line, key("class"), "is a class that writes".into()));
            }
            let GridFile { extent, columns, rows, first_block } = grid.value;
            let line = grid.referenced.line();
            let is_valid =
                extent.iter().all(|x| x.is_finite()) && extent[0] < extent[2] && extent[1] < extent[3];
            if !is_valid {
                errors.push(error(line, key("grid.extent"), "must be west, south, east, north".into()));
            }
            let blocks = u64::from(columns) * u64::from(rows);
            if blocks == 0 || u64::from(first_block) + blocks > u64::from(settings.router.shards) {
                let problem = format!(
                    "holds {blocks} blocks from number {first_block} on; the deployment has {}",
                    settings.router.shards
                );
                errors.push(error(line, key("grid"), problem));
            }
            let grid = Grid { extent, columns, rows, first_block };
            types.push(FeatureType { name: name.value, title, class, grid });
        }
        let relative_to_file = |name: String| path.parent().unwrap_or(Path::new("")).join(name);
        let (Ok(listen), true) = (address, errors.is_empty()) else { return Err(errors) };
        Ok(Some(OgcConfig {
            listen,
            inventory: file.inventory.map(relative_to_file),
            prefix: prefix.value,
            namespace: file.namespace.uri,
            crs: file.crs.unwrap_or_else(|| DEFAULT_CRS.to_owned()),
            page_size: file.count.map_or(DEFAULT_PAGE_SIZE, |count| count.value),
            feature_types: types,
        }))
    }
}

/// Returns the message of a YAML error, without the snippet of the document, on one line.
pub fn yaml_message(error: &serde_saphyr::Error) -> String {
    let text = error.without_snippet().to_string();
    text.lines().next().unwrap_or("invalid YAML").trim_start_matches("error: ").to_owned()
}

/// Whether a text is an XML name of ASCII characters without a colon.
fn is_name(text: &str) -> bool {
    let inner = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    text.starts_with(|c: char| c.is_ascii_alphabetic()) && text.chars().all(inner)
}
