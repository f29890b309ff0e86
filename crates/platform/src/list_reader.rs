//! Single-pass deserialization of discovery lists. A list can have thousands of entries, and the sidecar
//! runs on one thread.
//!
//! Nothing in an entry is a deserialization error: an unreadable entry must not discard the others.

use crate::wire::name_hash;
use roseproxy_decision::interface::{Readiness, ServerId};
use roseproxy_routing::flow::Target;
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of entries that are read from one list. It bounds memory and is above the size of any
/// supported fleet.
const MAX_ENTRIES: usize = 4096;

/// The fields of a list. A field that is missing or has the wrong JSON type is `None`.
#[derive(Debug, Default)]
pub(crate) struct List {
    /// Revision of the list.
    pub revision: Option<u64>,
    /// Whether the list is complete, as opposed to changes.
    pub complete: Option<bool>,
    /// The entries.
    pub entries: Option<Entries>,
}

/// The entries of a list.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    /// Entries that could be read.
    pub targets: Vec<Target>,
    /// Number of all entries in the list.
    pub total: usize,
}

/// A JSON value of which only strings, numbers and booleans are kept.
enum Scalar<'de> {
    Text(Cow<'de, str>),
    Unsigned(u64),
    Number(f64),
    Bool(bool),
    Other,
}

impl Scalar<'_> {
    fn number(&self) -> Option<f64> {
        match self {
            Scalar::Unsigned(number) => Some(*number as f64),
            Scalar::Number(number) => Some(*number),
            _ => None,
        }
    }

    fn unsigned(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(number) => Some(*number),
            _ => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Implements visitor methods that skip values of the given JSON types and return a substitute for them.
macro_rules! skip_values {
    ($substitute:expr; $($kind:ident)*) => {
        $(skip_values!(@ $kind $substitute);)*
    };
    (@ strings $substitute:expr) => {
        fn visit_str<E>(self, _: &str) -> Result<Self::Value, E> { Ok($substitute) }
    };
    (@ numbers $substitute:expr) => {
        fn visit_u64<E>(self, _: u64) -> Result<Self::Value, E> { Ok($substitute) }
        fn visit_i64<E>(self, _: i64) -> Result<Self::Value, E> { Ok($substitute) }
        fn visit_f64<E>(self, _: f64) -> Result<Self::Value, E> { Ok($substitute) }
    };
    (@ booleans $substitute:expr) => {
        fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> { Ok($substitute) }
    };
    (@ null $substitute:expr) => {
        fn visit_unit<E>(self) -> Result<Self::Value, E> { Ok($substitute) }
    };
    (@ arrays $substitute:expr) => {
        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
            while list.next_element::<IgnoredAny>()?.is_some() {}
            Ok($substitute)
        }
    };
    (@ objects $substitute:expr) => {
        fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
            while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            Ok($substitute)
        }
    };
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Unsigned(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Number(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Number(number))
    }

    fn visit_bool<E>(self, value: bool) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Bool(value))
    }

    skip_values!(Scalar::Other; null arrays objects);
}

impl<'de> Deserialize<'de> for Scalar<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

/// An entry of a list; `None` if it could not be read.
struct Entry(Option<Target>);

/// The fields of an entry, each under the name that the sidecar uses for it.
#[derive(Default)]
struct Fields<'de> {
    id: Option<Scalar<'de>>,
    address: Option<Scalar<'de>>,
    zone: Option<Scalar<'de>>,
    kind: Option<Scalar<'de>>,
    phase: Option<Scalar<'de>>,
    cell: Option<Scalar<'de>>,
    size: Option<Scalar<'de>>,
    started: Option<Scalar<'de>>,
}

fn field_text<'a>(field: &'a Option<Scalar>) -> Option<&'a str> {
    field.as_ref().and_then(Scalar::text)
}

impl Fields<'_> {
    fn target(&self) -> Option<Target> {
        let started = self.started.as_ref().and_then(Scalar::number).unwrap_or(0.0);
        let address: SocketAddr = field_text(&self.address)?.parse().ok()?;
        Some(Target {
            id: ServerId(name_hash(field_text(&self.id).filter(|id| !id.is_empty())?)),
            address,
            zone: name_hash(field_text(&self.zone).unwrap_or("")) as u32,
            cell: self.cell.as_ref().and_then(Scalar::unsigned).unwrap_or(0) as u32,
            kind: name_hash(field_text(&self.kind).unwrap_or("")) as u32,
            power: self.size.as_ref().and_then(Scalar::number).unwrap_or(1.0),
            started_at: (started > 0.0).then_some(started),
            readiness: match field_text(&self.phase)? {
                "in_service" => Readiness::Ready,
                "terminating" => Readiness::Draining,
                "terminated" => Readiness::Gone,
                _ => return None,
            },
        })
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = Entry;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an entry")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Entry, A::Error> {
        let mut fields = Fields::default();
        while let Some(key) = object.next_key::<Scalar>()? {
            let field = match key.text().unwrap_or("") {
                "id" => &mut fields.id,
                "host_port" => &mut fields.address,
                "locality" => &mut fields.zone,
                "flavor" => &mut fields.kind,
                "phase" => &mut fields.phase,
                "cell" => &mut fields.cell,
                "size" => &mut fields.size,
                "up_since_ms" => &mut fields.started,
                _ => {
                    object.next_value::<IgnoredAny>()?;
                    continue;
                }
            };
            *field = Some(object.next_value()?);
        }
        Ok(Entry(fields.target()))
    }

    skip_values!(Entry(None); strings numbers booleans null arrays);
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(EntryVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Option<Entries>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Option<Entries>, A::Error> {
        let mut entries = Entries::default();
        while let Some(Entry(target)) = list.next_element()? {
            entries.total += 1;
            entries.targets.extend(target.filter(|_| entries.total <= MAX_ENTRIES));
        }
        Ok(Some(entries))
    }

    skip_values!(None; strings numbers booleans null objects);
}

/// The entries of a list; `None` if the value is not an array.
struct OptionalEntries(Option<Entries>);

impl<'de> Deserialize<'de> for OptionalEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(EntriesVisitor).map(OptionalEntries)
    }
}

struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = List;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<List, A::Error> {
        let mut list = List::default();
        while let Some(key) = object.next_key::<Scalar>()? {
            match key.text().unwrap_or("") {
                "revision" => list.revision = object.next_value::<Scalar>()?.unsigned(),
                "complete" => {
                    list.complete = match object.next_value::<Scalar>()? {
                        Scalar::Bool(complete) => Some(complete),
                        _ => None,
                    }
                }
                "members" => list.entries = object.next_value::<OptionalEntries>()?.0,
                _ => drop(object.next_value::<IgnoredAny>()?),
            }
        }
        Ok(list)
    }

    skip_values!(List::default(); strings numbers booleans null arrays);
}

impl<'de> Deserialize<'de> for List {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ListVisitor)
    }
}
