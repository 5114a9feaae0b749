//! What is wrong with a configuration file.

/// A value of the configuration file that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// The path of the value, as `settings.request_classes[2].name`; empty for the file as a whole.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl ConfigurationError {
    /// The value at this path has this problem.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }

    /// The file as a whole has this problem.
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
