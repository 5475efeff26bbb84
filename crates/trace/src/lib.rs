//! Trace files: what a broker was told and what it decided, step by step, with the reasons.
//!
//! [`mod@write`] and [`read`] are the format (`docs/design/trace.md`), [`recorder`] writes it beside a running
//! broker, and the rest are the tools of `badgergauge trace`. What is decided here is in modules without I/O:
//! [`retain`], [`align`], [`replay`], [`sample`], [`track`].

pub mod align;
pub mod codec;
pub mod describe;
pub mod frame;
pub mod header;
pub mod mask;
pub mod merge;
pub mod read;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod retain;
pub mod sample;
pub mod summary;
pub mod tools;
pub mod track;
pub mod wire;
pub mod write;

pub use header::Header;
pub use read::{Damage, End, Index, OpenError, Reader};
pub use record::{Gap, Named, NotTaken, Record, Servers, Source, Why};
pub use write::Writer;
