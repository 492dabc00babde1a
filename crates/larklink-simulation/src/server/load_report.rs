//! What a server reports of its load when its health is checked.

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Sessions that are held, established or being set up.
    pub held: usize,
    /// The share of the last interval in which its cores worked.
    pub used: f64,
    /// Work asked for in it over what it could have done.
    pub asked: f64,
}
