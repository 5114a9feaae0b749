//! The error type of the configuration file.

/// A missing or invalid value in the configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// The path of the value, such as `settings.request_classes[2].name`; empty if the error concerns the
    /// whole file.
    pub path: String,
    /// What is wrong with the value.
    pub problem: String,
}

impl ConfigurationError {
    /// Creates an error about the value at `path`.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }

    /// Creates an error about the whole file.
    pub fn in_file(problem: impl Into<String>) -> Self {
        Self::new("", problem)
    }
}

impl std::fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.path.as_str() {
            "" => formatter.write_str(&self.problem),
            path => write!(formatter, "{path}: {}", self.problem),
        }
    }
}

impl std::error::Error for ConfigurationError {}
