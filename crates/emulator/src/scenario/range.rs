//! Figures of a scenario file: plain values, or ranges from which values are drawn.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;

/// A range from which a schedule draws a figure; a plain value is a range of length 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The lower bound.
    pub low: f64,
    /// The upper bound; equal to the lower one for a plain value.
    pub high: f64,
}

impl Range {
    /// Creates a plain value.
    pub const fn fixed(value: f64) -> Range {
        Range { low: value, high: value }
    }

    /// Creates a range.
    pub const fn between(low: f64, high: f64) -> Range {
        Range { low, high }
    }

    /// The value at a fraction (0 to 1) of the range.
    pub fn interpolate(&self, fraction: f64) -> f64 {
        self.low + (self.high - self.low) * fraction
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Range, D::Error> {
        struct RangeVisitor;
        impl<'de> Visitor<'de> for RangeVisitor {
            type Value = Range;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number, or a range [least, most]")
            }
            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if !value.is_finite() {
                    return Err(E::custom("it is no finite number"));
                }
                Ok(Range::fixed(value))
            }
            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }
            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
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
        deserializer.deserialize_any(RangeVisitor)
    }
}
