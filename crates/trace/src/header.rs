//! Header of a trace file.

use crate::record::Source;
use crate::wire;

/// Header of a trace file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Header {
    /// The runs that the file's records belong to.
    pub sources: Vec<Source>,
    /// Whether keys have been replaced by [`crate::mask`].
    pub masked: bool,
    /// Name and version of the program that wrote the file.
    pub made_by: String,
}

impl Header {
    /// Creates a header with the name and version of this build.
    pub fn new(sources: Vec<Source>, masked: bool) -> Self {
        Header { sources, masked, made_by: concat!("badgergauge ", env!("CARGO_PKG_VERSION")).to_owned() }
    }
}

pub(crate) fn to_wire(header: &Header) -> wire::Header {
    let source = |s: &Source| wire::Source {
        broker: s.broker.clone(),
        run: s.run,
        unix_at_zero: s.unix_at_zero,
        settings_digest: s.settings_digest.clone(),
        classes: s.classes.clone(),
        zones: s.zones.clone(),
        settings: s.settings.clone(),
        seed: s.seed,
        sample: s.sample.clone(),
        moved: s.moved,
    };
    wire::Header {
        sources: header.sources.iter().map(source).collect(),
        masked: header.masked,
        made_by: header.made_by.clone(),
    }
}

pub(crate) fn from_wire(header: wire::Header) -> Header {
    let source = |s: wire::Source| Source {
        broker: s.broker,
        run: s.run,
        unix_at_zero: s.unix_at_zero,
        settings_digest: s.settings_digest,
        classes: s.classes,
        zones: s.zones,
        settings: s.settings,
        seed: s.seed,
        sample: s.sample,
        moved: s.moved,
    };
    Header {
        sources: header.sources.into_iter().map(source).collect(),
        masked: header.masked,
        made_by: header.made_by,
    }
}
