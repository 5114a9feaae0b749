//! Parses and checks the configuration files, and derives the router's limits from them. No other module
//! parses configuration.

mod error;
mod file;
mod fleet;
mod fronts;
pub mod limits;
mod line_numbers;
mod request_classes;
mod section;
mod signed_urls;

pub use error::ConfigurationError;
pub use file::{Configuration, FixedSettings};
pub use fleet::FleetConfiguration;
pub use fronts::Fronts;
pub use line_numbers::line_of_value;
pub use signed_urls::{SignedUrlSettings, TokenFormatSettings, TokenSource};
