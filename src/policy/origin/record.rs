//! Records of the fleet: the streams of each instance, and the base version of each service.

use indexmap::IndexMap;

use super::{Attempt, Software};
use crate::adapter::codec;

/// Start of the keys of instances and of services.
const INSTANCE: &str = "instance/";
const SERVICE: &str = "service/";

/// Key of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Key {
    /// Streams of this instance.
    Instance,
    /// Streams of another instance.
    Other,
    /// The base of a service.
    Service(String),
}

impl Key {
    /// Parses a key as the instance `me` sees it.
    pub(super) fn parse(key: &str, me: &str) -> Option<Self> {
        if let Some(name) = key.strip_prefix(SERVICE) {
            return Some(Self::Service(name.to_owned()));
        }
        let name = key.strip_prefix(INSTANCE)?;
        Some(if name == me { Self::Instance } else { Self::Other })
    }

    /// The key as it is written by the instance `me`.
    pub(super) fn name(&self, me: &str) -> String {
        match self {
            Self::Service(name) => format!("{SERVICE}{name}"),
            Self::Instance | Self::Other => format!("{INSTANCE}{me}"),
        }
    }
}

/// Streams that began at one software version: attempts and the time for which their callers wait, in
/// milliseconds.
type Began = Vec<(Attempt, u32)>;

data! {
    /// The base version of a service.
    pub struct Marker {
        /// That version; `None` if there is none.
        pub base: Option<Software>,
        /// Streams may begin at it without a record.
        pub open: bool,
        /// Era of the platform in which it was written: one that was restored from a copy may hold an
        /// older one.
        pub era: u64,
    }

    /// Streams that an instance began, by service and software version. Those without a version can't
    /// be resumed.
    #[derive(Default)]
    pub struct StreamsRecord {
        /// Streams by service and version.
        pub services: IndexMap<String, IndexMap<Option<Software>, Began>>,
    }
}

impl StreamsRecord {
    /// Decodes a record; one that was removed is empty. `None` if it is malformed.
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        if value.is_empty() { Some(Self::default()) } else { codec::unpack(value).ok() }
    }

    /// Adds a stream that may be resumed for `remaining` milliseconds.
    pub(super) fn add(
        &mut self,
        service: &str,
        software: Option<Software>,
        attempt: Attempt,
        remaining: u64,
    ) {
        let versions = self.services.entry(service.to_owned()).or_default();
        let remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
        versions.entry(software).or_default().push((attempt, remaining));
    }

    /// All streams: service, version, attempt and remaining time in milliseconds.
    pub(super) fn streams(
        &self,
    ) -> impl Iterator<Item = (&str, Option<Software>, Attempt, u64)> + '_ {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().flat_map(move |(software, streams)| {
                streams.iter().map(move |(attempt, remaining)| {
                    (service.as_str(), *software, *attempt, u64::from(*remaining))
                })
            })
        })
    }
}
