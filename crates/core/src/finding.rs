//! Validation errors in operator-written documents.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation error in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The path of the field, such as `limits.slots`.
    #[serde(rename = "place")]
    pub path: String,
    /// The error, as the rest of a sentence that starts with the path.
    #[serde(rename = "text")]
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` {}", self.path, self.message)
    }
}
