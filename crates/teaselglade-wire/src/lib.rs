//! Message types that processes exchange with each other and with external systems.
//!
//! The types are generated from `schema/wire.json` by `tools/wire-generator` and committed. They
//! have no behaviour; adapters convert them to the types of the decision crates.

#[rustfmt::skip]
#[expect(
    clippy::all,
    missing_docs,
    reason = "generated code follows its generator's style"
)]
mod generated;

pub mod codec;

pub use generated::{
    AnswerHeader, AuditAction, AuditBatch, AuditEntry, BookingOutcome, CacheChange, CacheEvent,
    CacheEvents, CloudEntries, CloudEntry, CloudNotice, CloudNotices, CloudOrder, CloudState,
    EndEvent, EngineCancel, EngineExport, EngineFrame, EngineGenerate, EngineHandle, EngineImport,
    EngineLoad, EngineOrder, EngineState, ErrorBody, GenerateAnswer, GenerateBody, HostEntries,
    HostEntry, HostRole, HostStatus, LeaseRecord, LogAppended, LogEntries, LogEntry, PeerExchange,
    PeerMember, PeerNotice, PeerSlice, PeerState, PeerStreamAsk, PeerStreamHolder, PeerStreamPart,
    PeerStreamRead, PeerStreamRecord, PeerStreamReply, PurchaseKind, ShardBatch, ShardEntry,
    TableHead, TablePublication, TableRecord, TableSnapshot, TokenEvent, Verdict, WeightReserve,
};
