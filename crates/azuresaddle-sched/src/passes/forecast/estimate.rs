//! An estimate with its error.

/// An estimated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected amount per second.
    pub per_s: f64,
    /// Standard error of [`Self::per_s`].
    pub error: f64,
}
