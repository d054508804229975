//! Validated names in store records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A failure domain, written `region/domain`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct DomainName(String);

impl DomainName {
    /// The region part of the name.
    pub fn region(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// The whole name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A name that is not of the form `region/domain`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainNameError(String);

impl fmt::Display for DomainNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a failure domain: expected `region/domain`, each 1 to 64 letters, digits, `-` or `_`",
            self.0
        )
    }
}

impl std::error::Error for DomainNameError {}

impl FromStr for DomainName {
    type Err = DomainNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let valid = parts.next().is_some_and(is_valid_name)
            && parts.next().is_some_and(is_valid_name)
            && parts.next().is_none();
        if valid {
            Ok(Self(text.to_owned()))
        } else {
            Err(DomainNameError(text.to_owned()))
        }
    }
}

impl TryFrom<String> for DomainName {
    type Error = DomainNameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<DomainName> for String {
    fn from(name: DomainName) -> Self {
        name.0
    }
}

impl fmt::Display for DomainName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether a text is a valid name of an entry, region, tenant, host or backend server.
///
/// Valid names have 1 to 64 ASCII letters, digits, hyphens and underscores, so that they need no
/// escaping in object keys and paths.
pub fn is_valid_name(text: &str) -> bool {
    let length_ok = (1..=64).contains(&text.len());
    length_ok
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}
