//! The configuration files and the limits that are derived from them.

pub mod file;
pub mod fronts;
pub mod limits;
pub mod line_numbers;
