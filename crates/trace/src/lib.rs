//! Trace files: every event that a broker's decision module received and every action that it returned, step
//! by step, with the reasons.
//!
//! [`mod@write`] and [`read`] implement the file format (`docs/design/trace.md`), on top of [`frame`],
//! [`wire`] and [`codec`]. [`recorder`] writes trace files for a running broker. The other modules are the
//! tools of `badgergauge trace`. These modules hold logic without I/O: [`rotation`], [`align`], [`replay`],
//! [`sample`], [`track`].

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
pub mod rotation;
pub mod sample;
pub mod summary;
pub mod tools;
pub mod track;
pub mod wire;
pub mod write;

pub use header::Header;
pub use read::{Damage, FileEnd, Index, OpenError, Reader};
pub use record::{Gap, NotAccepted, NotAcceptedReason, QueryNames, Record, ServerNames, Source};
pub use write::Writer;
