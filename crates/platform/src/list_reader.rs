//! Reading discovery's lists in one pass: thousands of entries come at once, and the program has one thread.
//!
//! An entry that cannot be read is no reason to drop the others, so that nothing in an entry is an error here.

use crate::wire::tag;
use roseproxy_decision::interface::{Readiness, ServerId};
use roseproxy_routing::flow::Target;
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// Entries of one list that are read; more than any fleet here has, and a bound for memory.
const MOST_MEMBERS: usize = 4096;

/// A list's fields, as far as they are of the right kind.
#[derive(Debug, Default)]
pub(crate) struct List {
    /// Its version.
    pub revision: Option<u64>,
    /// Whether it names all there are.
    pub complete: Option<bool>,
    /// Its entries.
    pub members: Option<Members>,
}

/// The entries of a list.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Those that could be read.
    pub targets: Vec<Target>,
    /// How many there were.
    pub count: usize,
}

/// A value of which only texts, numbers and truth are of interest.
enum Scalar<'de> {
    Text(Cow<'de, str>),
    Whole(u64),
    Number(f64),
    Truth(bool),
    Other,
}

impl Scalar<'_> {
    fn number(&self) -> Option<f64> {
        match self {
            Scalar::Whole(number) => Some(*number as f64),
            Scalar::Number(number) => Some(*number),
            _ => None,
        }
    }

    fn whole(&self) -> Option<u64> {
        match self {
            Scalar::Whole(number) => Some(*number),
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

/// Makes a visitor of what stands for any value that is not of interest: each kind of value is read over.
macro_rules! read_over {
    ($other:expr; $($kind:ident)*) => {
        $(read_over!(@ $kind $other);)*
    };
    (@ texts $other:expr) => {
        fn visit_str<E>(self, _: &str) -> Result<Self::Value, E> { Ok($other) }
    };
    (@ numbers $other:expr) => {
        fn visit_u64<E>(self, _: u64) -> Result<Self::Value, E> { Ok($other) }
        fn visit_i64<E>(self, _: i64) -> Result<Self::Value, E> { Ok($other) }
        fn visit_f64<E>(self, _: f64) -> Result<Self::Value, E> { Ok($other) }
    };
    (@ truths $other:expr) => {
        fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> { Ok($other) }
    };
    (@ nothing $other:expr) => {
        fn visit_unit<E>(self) -> Result<Self::Value, E> { Ok($other) }
    };
    (@ lists $other:expr) => {
        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
            while list.next_element::<IgnoredAny>()?.is_some() {}
            Ok($other)
        }
    };
    (@ objects $other:expr) => {
        fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
            while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            Ok($other)
        }
    };
}

struct AnyScalar;

impl<'de> Visitor<'de> for AnyScalar {
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
        Ok(Scalar::Whole(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Number(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Number(number))
    }

    fn visit_bool<E>(self, truth: bool) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Truth(truth))
    }

    read_over!(Scalar::Other; nothing lists objects);
}

impl<'de> Deserialize<'de> for Scalar<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(AnyScalar)
    }
}

/// An entry, where it could be read.
struct Entry(Option<Target>);

/// The fields of an entry.
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

fn text<'a>(field: &'a Option<Scalar>) -> Option<&'a str> {
    field.as_ref().and_then(Scalar::text)
}

impl Fields<'_> {
    fn target(&self) -> Option<Target> {
        let started = self.started.as_ref().and_then(Scalar::number).unwrap_or(0.0);
        let address: SocketAddr = text(&self.address)?.parse().ok()?;
        Some(Target {
            id: ServerId(tag(text(&self.id).filter(|id| !id.is_empty())?)),
            address,
            zone: tag(text(&self.zone).unwrap_or("")) as u32,
            cell: self.cell.as_ref().and_then(Scalar::whole).unwrap_or(0) as u32,
            kind: tag(text(&self.kind).unwrap_or("")) as u32,
            power: self.size.as_ref().and_then(Scalar::number).unwrap_or(1.0),
            started_at: (started > 0.0).then_some(started),
            readiness: match text(&self.phase)? {
                "in_service" => Readiness::Ready,
                "terminating" => Readiness::Draining,
                "terminated" => Readiness::Gone,
                _ => return None,
            },
        })
    }
}

struct AnyEntry;

impl<'de> Visitor<'de> for AnyEntry {
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

    read_over!(Entry(None); texts numbers truths nothing lists);
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(AnyEntry)
    }
}

struct AnyMembers;

impl<'de> Visitor<'de> for AnyMembers {
    type Value = Option<Members>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Option<Members>, A::Error> {
        let mut members = Members::default();
        while let Some(Entry(target)) = list.next_element()? {
            members.count += 1;
            members.targets.extend(target.filter(|_| members.count <= MOST_MEMBERS));
        }
        Ok(Some(members))
    }

    read_over!(None; texts numbers truths nothing objects);
}

/// The entries, where they are a list.
struct MaybeMembers(Option<Members>);

impl<'de> Deserialize<'de> for MaybeMembers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(AnyMembers).map(MaybeMembers)
    }
}

struct AnyList;

impl<'de> Visitor<'de> for AnyList {
    type Value = List;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<List, A::Error> {
        let mut list = List::default();
        while let Some(key) = object.next_key::<Scalar>()? {
            match key.text().unwrap_or("") {
                "revision" => list.revision = object.next_value::<Scalar>()?.whole(),
                "complete" => {
                    list.complete = match object.next_value::<Scalar>()? {
                        Scalar::Truth(complete) => Some(complete),
                        _ => None,
                    }
                }
                "members" => list.members = object.next_value::<MaybeMembers>()?.0,
                _ => drop(object.next_value::<IgnoredAny>()?),
            }
        }
        Ok(list)
    }

    read_over!(List::default(); texts numbers truths nothing lists);
}

impl<'de> Deserialize<'de> for List {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(AnyList)
    }
}
