//! One thing wrong with what an operator wrote.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a document and what is wrong there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The path of the field, such as `limits.slots`.
    pub place: String,
    /// What is wrong, as the end of a sentence that begins with the place.
    pub text: String,
}

impl Finding {
    /// Makes a finding.
    pub fn new(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` {}", self.place, self.text)
    }
}
