//! Records of the instances: the streams that they began, and the base versions that they know.

use indexmap::IndexMap;

use super::{Attempt, Software};
use crate::adapter::codec;

/// Start of the keys of instances.
const INSTANCE: &str = "instance/";

/// Key of an instance's record.
pub(super) fn key_of(instance: &str) -> String {
    format!("{INSTANCE}{instance}")
}

/// True for the key of an instance's record.
pub(super) fn is_key(key: &str) -> bool {
    key.starts_with(INSTANCE)
}

/// Streams that began at one software version: attempts and the time for which their callers wait, in
/// milliseconds.
type Began = Vec<(Attempt, u32)>;

data! {
    /// What an instance knows of the base version of a service.
    pub struct Marker {
        /// That version; `None` if records contradict each other.
        pub base: Option<Software>,
        /// Streams may begin at it without a record.
        pub open: bool,
        /// Number of bases before it. The highest counts, and of one generation that which is closed.
        pub generation: u64,
    }

    /// Record of an instance: streams that it began, and what it knows of the bases. Streams without a
    /// version can't be resumed.
    #[derive(Default)]
    pub struct StreamsRecord {
        /// Era of the platform in which it was written: bases of an earlier one don't count.
        pub era: u64,
        /// Time for which a stream may last, in milliseconds, by all routes that the instance knows of.
        pub lifetime: u64,
        /// Bases by service.
        pub bases: IndexMap<String, Marker>,
        /// Streams by service and version.
        pub services: IndexMap<String, IndexMap<Option<Software>, Began>>,
    }
}

impl Marker {
    /// Combines two records of one service.
    pub(super) fn merge(self, other: &Self) -> Self {
        if self.generation != other.generation {
            return if self.generation > other.generation { self } else { other.clone() };
        }
        Self {
            base: self.base.filter(|_| self.base == other.base),
            open: self.open && other.open && self.base == other.base,
            generation: self.generation,
        }
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
