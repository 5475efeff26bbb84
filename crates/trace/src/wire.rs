//! Rust types of the messages in `proto/trace.proto`, where the fields are described. `tests/proto.rs` checks
//! that the two agree field by field.
#![allow(missing_docs)]

use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct Header {
    #[prost(message, repeated, tag = "1")]
    pub sources: Vec<Source>,
    #[prost(bool, tag = "2")]
    pub masked: bool,
    #[prost(string, tag = "3")]
    pub made_by: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Source {
    #[prost(string, tag = "1")]
    pub broker: String,
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    #[prost(sint64, tag = "3")]
    pub unix_at_zero: i64,
    #[prost(bytes = "vec", tag = "4")]
    pub settings_digest: Vec<u8>,
    #[prost(string, repeated, tag = "5")]
    pub classes: Vec<String>,
    #[prost(string, repeated, tag = "6")]
    pub zones: Vec<String>,
    #[prost(string, tag = "7")]
    pub settings: String,
    #[prost(fixed64, tag = "8")]
    pub seed: u64,
    #[prost(double, repeated, tag = "9")]
    pub sample: Vec<f64>,
    #[prost(sint64, tag = "10")]
    pub moved: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Block {
    #[prost(message, repeated, tag = "1")]
    pub servers: Vec<Server>,
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Server {
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub name: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Step {
    #[prost(uint32, tag = "1")]
    pub source: u32,
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    #[prost(sint64, tag = "3")]
    pub time: i64,
    #[prost(message, repeated, tag = "4")]
    pub events: Vec<Event>,
    #[prost(message, repeated, tag = "5")]
    pub actions: Vec<Action>,
    #[prost(uint64, repeated, tag = "6")]
    pub versions: Vec<u64>,
    #[prost(message, repeated, tag = "7")]
    pub not_taken: Vec<NotTaken>,
    #[prost(message, optional, tag = "8")]
    pub gap: Option<Gap>,
    #[prost(string, tag = "9")]
    pub note: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Gap {
    #[prost(uint64, tag = "1")]
    pub first_before: u64,
    #[prost(uint64, tag = "2")]
    pub last_before: u64,
    #[prost(string, tag = "3")]
    pub why: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct NotTaken {
    #[prost(uint32, tag = "1")]
    pub class: u32,
    #[prost(uint32, tag = "2")]
    pub why: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Event {
    #[prost(oneof = "event::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<event::Kind>,
}

pub mod event {
    use super::*;

    #[derive(Clone, PartialEq, Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        Query(Query),
        #[prost(message, tag = "2")]
        Part(Part),
        #[prost(message, tag = "3")]
        Outcome(Outcome),
        #[prost(message, tag = "4")]
        Probed(Probed),
        #[prost(sint64, tag = "5")]
        ClientGone(i64),
        #[prost(uint64, tag = "6")]
        Timer(u64),
        #[prost(message, tag = "7")]
        Servers(Listing),
        #[prost(message, tag = "8")]
        ServersChanged(Listing),
        #[prost(bool, tag = "9")]
        ServersFailed(bool),
        #[prost(message, tag = "10")]
        Told(Told),
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Told {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    #[prost(uint32, tag = "3")]
    pub verdict: u32,
    #[prost(uint64, tag = "4")]
    pub took: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Query {
    #[prost(sint64, tag = "1")]
    pub id: i64,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    #[prost(uint32, tag = "3")]
    pub tenant: u32,
    #[prost(fixed64, optional, tag = "4")]
    pub key: Option<u64>,
    #[prost(bool, tag = "5")]
    pub repeated_try: bool,
    #[prost(uint64, tag = "6")]
    pub left: u64,
    #[prost(string, tag = "7")]
    pub name: String,
    #[prost(string, tag = "8")]
    pub idempotency_key: String,
    #[prost(uint64, optional, tag = "9")]
    pub number: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Part {
    #[prost(sint64, tag = "1")]
    pub id: i64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(double, tag = "3")]
    pub weight: f64,
    #[prost(uint64, optional, tag = "4")]
    pub query: Option<u64>,
    #[prost(uint64, optional, tag = "5")]
    pub hint: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Load {
    #[prost(double, optional, tag = "1")]
    pub held: Option<f64>,
    #[prost(double, optional, tag = "2")]
    pub waiting: Option<f64>,
    #[prost(double, optional, tag = "3")]
    pub utilisation: Option<f64>,
    #[prost(double, optional, tag = "4")]
    pub service_seconds: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Outcome {
    #[prost(sint64, tag = "1")]
    pub part: i64,
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    #[prost(uint32, tag = "3")]
    pub verdict: u32,
    #[prost(uint64, tag = "4")]
    pub took: u64,
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Probed {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    #[prost(uint64, tag = "3")]
    pub took: u64,
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Listing {
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<Listed>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Listed {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    #[prost(uint32, tag = "3")]
    pub cell: u32,
    #[prost(uint32, tag = "4")]
    pub state: u32,
    #[prost(uint64, optional, tag = "5")]
    pub started: Option<u64>,
    #[prost(uint64, optional, tag = "6")]
    pub until: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Action {
    #[prost(oneof = "action::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub kind: Option<action::Kind>,
}

pub mod action {
    use super::*;

    #[derive(Clone, PartialEq, Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        Send(Send),
        #[prost(message, tag = "2")]
        Cancel(Cancel),
        #[prost(uint32, tag = "3")]
        CloseIdle(u32),
        #[prost(uint32, tag = "4")]
        Probe(u32),
        #[prost(message, tag = "5")]
        Answer(Answer),
        #[prost(message, tag = "6")]
        Refuse(Refuse),
        #[prost(message, tag = "7")]
        Fail(Fail),
        #[prost(message, tag = "8")]
        SetTimer(SetTimer),
        #[prost(bool, tag = "9")]
        WatchServers(bool),
    }
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Send {
    #[prost(sint64, tag = "1")]
    pub part: i64,
    #[prost(uint32, tag = "2")]
    pub server: u32,
    #[prost(uint64, tag = "3")]
    pub time_out: u64,
    #[prost(uint32, tag = "4")]
    pub home: u32,
    #[prost(uint32, tag = "5")]
    pub left: u32,
    #[prost(float, tag = "6")]
    pub predicted: f32,
    #[prost(float, tag = "7")]
    pub allowed: f32,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Cancel {
    #[prost(sint64, tag = "1")]
    pub part: i64,
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    #[prost(bool, tag = "3")]
    pub silent: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ending {
    #[prost(uint32, tag = "1")]
    pub cause: u32,
    #[prost(message, repeated, tag = "2")]
    pub missing: Vec<Missing>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Missing {
    #[prost(sint64, tag = "1")]
    pub part: i64,
    #[prost(uint32, tag = "2")]
    pub why: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    #[prost(sint64, tag = "1")]
    pub query: i64,
    #[prost(bool, tag = "2")]
    pub whole: bool,
    #[prost(message, optional, tag = "3")]
    pub why: Option<Ending>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
    #[prost(sint64, tag = "1")]
    pub query: i64,
    #[prost(uint64, tag = "2")]
    pub hold_off: u64,
    #[prost(message, optional, tag = "3")]
    pub why: Option<Ending>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Fail {
    #[prost(sint64, tag = "1")]
    pub query: i64,
    #[prost(message, optional, tag = "2")]
    pub why: Option<Ending>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct SetTimer {
    #[prost(uint64, tag = "1")]
    pub timer: u64,
    #[prost(sint64, tag = "2")]
    pub at: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Footer {
    #[prost(message, optional, tag = "1")]
    pub header: Option<Header>,
    #[prost(message, repeated, tag = "2")]
    pub blocks: Vec<Entry>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    #[prost(uint32, tag = "2")]
    pub records: u32,
    #[prost(sint64, tag = "3")]
    pub first_time: i64,
    #[prost(sint64, tag = "4")]
    pub last_time: i64,
    #[prost(message, repeated, tag = "5")]
    pub spans: Vec<Span>,
    #[prost(uint32, repeated, tag = "6")]
    pub taken: Vec<u32>,
    #[prost(uint32, repeated, tag = "7")]
    pub names: Vec<u32>,
    #[prost(uint64, repeated, tag = "8")]
    pub queries: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Span {
    #[prost(uint32, tag = "1")]
    pub source: u32,
    #[prost(uint64, tag = "2")]
    pub first: u64,
    #[prost(uint64, tag = "3")]
    pub last: u64,
}
