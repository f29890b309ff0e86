//! A figure of a scenario file: a plain value, or a range that a draw takes it from.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;

/// A figure, or a range that a scenario draws it from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least.
    pub low: f64,
    /// The most; equal to the least for a plain value.
    pub high: f64,
}

impl Range {
    /// A plain value.
    pub const fn one(value: f64) -> Range {
        Range { low: value, high: value }
    }

    /// A range.
    pub const fn two(low: f64, high: f64) -> Range {
        Range { low, high }
    }

    /// Where a number from 0 to 1 falls in it.
    pub fn at(&self, part: f64) -> f64 {
        self.low + (self.high - self.low) * part
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Range, D::Error> {
        struct Either;
        impl<'de> Visitor<'de> for Either {
            type Value = Range;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number, or a range [least, most]")
            }
            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if !value.is_finite() {
                    return Err(E::custom("it is no finite number"));
                }
                Ok(Range::one(value))
            }
            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::one(value as f64))
            }
            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::one(value as f64))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let low: f64 = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
                let high: f64 = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
                if seq.next_element::<f64>()?.is_some() {
                    return Err(de::Error::invalid_length(3, &self));
                }
                if !low.is_finite() || !high.is_finite() || low > high {
                    return Err(de::Error::custom(format!("[{low}, {high}] is no range from least to most")));
                }
                Ok(Range { low, high })
            }
        }
        from.deserialize_any(Either)
    }
}
