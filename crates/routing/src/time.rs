//! Conversions between the program's milliseconds and the decision module's microseconds.

use roseproxy_decision::interface::Micros;
use std::rc::Rc;

/// Reads the program's clock: milliseconds since the Unix epoch, never decreasing.
pub type Now = Rc<dyn Fn() -> f64>;

/// Converts milliseconds to the decision module's microseconds.
pub fn to_micros(millis: f64) -> Micros {
    (millis * 1000.0) as Micros // a cast saturates, and takes NaN for 0
}

/// Converts the decision module's microseconds to milliseconds.
pub fn to_millis(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
