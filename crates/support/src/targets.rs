//! Decodes request targets as strictly as a store may: one that is malformed is an error, and a `+` in a
//! query is a space.

use percent_encoding::percent_decode;

/// The parameters of a query, in order.
#[derive(Debug)]
pub(crate) struct Parameters(Vec<(Vec<u8>, Vec<u8>)>);

impl Parameters {
    /// Decodes a query; `None` if an escape is malformed.
    pub(crate) fn parse(query: &str) -> Option<Self> {
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let pairs = pairs.map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            Some((
                decode(&name.replace('+', " "))?,
                decode(&value.replace('+', " "))?,
            ))
        });
        pairs.collect::<Option<Vec<_>>>().map(Self)
    }

    /// The last value of a parameter, which a second one overrides.
    pub(crate) fn value(&self, name: &str) -> Option<&[u8]> {
        let mut pairs = self.0.iter().rev();
        let found = pairs.find(|(other, _)| other == name.as_bytes());
        found.map(|(_, value)| value.as_slice())
    }

    /// The last value of a parameter that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        std::str::from_utf8(self.value(name)?).ok()?.parse().ok()
    }
}

/// Decodes a part of a path; `None` if an escape is malformed or the result is not UTF-8.
pub(crate) fn decode_path(text: &str) -> Option<String> {
    String::from_utf8(decode(text)?).ok()
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let mut escapes = text.split('%').skip(1);
    let is_valid = |escape: &str| {
        let digits = escape.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    escapes
        .all(is_valid)
        .then(|| percent_decode(text.as_bytes()).collect())
}
