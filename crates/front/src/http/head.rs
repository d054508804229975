//! Parsing of request and response heads.

use std::ops::RangeInclusive;

use super::error::{HttpError, Result};

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 128;
/// Statuses that exist. HTTP gives no meaning to others, so that they tell nothing of the request.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The status of a change of protocols, after which no other response follows. No request asks for one.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Hop-by-hop headers, and the length, which is written anew.
const NOT_FORWARDED: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// A length in bytes.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Headers in the order of the message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headers {
    list: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// The first value of a header, trimmed; `None` if it is missing or not UTF-8.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .list
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
        found
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether a header is present.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.list
            .iter()
            .any(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
    }

    /// Whether a comma-separated header contains a token.
    pub(crate) fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }

    /// The values of a header that are UTF-8, one for each line.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let found = self
            .list
            .iter()
            .filter(move |(header_name, _)| header_name.eq_ignore_ascii_case(name));
        found.filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Writes the end-to-end headers except those named in `without`.
    pub(crate) fn write_end_to_end(&self, bytes: &mut Vec<u8>, without: &[&str]) {
        for (name, value) in &self.list {
            let is_skipped = NOT_FORWARDED
                .iter()
                .chain(without)
                .any(|skipped| name.eq_ignore_ascii_case(skipped));
            if is_skipped || self.contains_token("connection", name) {
                continue;
            }
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let list = parsed
            .iter()
            .map(|header| (header.name.to_owned(), header.value.to_vec()));
        Self {
            list: list.collect(),
        }
    }

    /// The framing that the headers declare; conflicting declarations are an error.
    fn framing(&self) -> Result<Option<Framing>> {
        let mut lengths = self.values("content-length");
        let length = lengths.next();
        if length.is_some_and(|first| lengths.any(|other| other.trim() != first.trim())) {
            return Err(HttpError::Malformed("conflicting content lengths"));
        }
        if self.contains("transfer-encoding") {
            let chunked = self.values("transfer-encoding").eq(["chunked"])
                || self
                    .get("transfer-encoding")
                    .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
            return match (chunked, length) {
                (true, None) => Ok(Some(Framing::Chunked)),
                (true, Some(_)) => {
                    Err(HttpError::Malformed("content length with chunked encoding"))
                }
                (false, _) => Err(HttpError::Malformed("unknown transfer encoding")),
            };
        }
        let Some(length) = length.map(str::trim) else {
            return if self.contains("content-length") {
                Err(HttpError::Malformed("content length is not UTF-8"))
            } else {
                Ok(None)
            };
        };
        let is_decimal = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
        let length = length.parse().ok().filter(|_| is_decimal);
        length
            .map(|length| Some(Framing::Length(length)))
            .ok_or(HttpError::Malformed("content length"))
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the peer keeps the connection open after this message.
    pub(crate) keep_alive: bool,
}

impl RequestHead {
    /// Parses a head and returns it with its length in bytes; `None` while it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(|error| match error {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
            _ => HttpError::Malformed("request head"),
        })?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let headers = Headers::from_parsed(request.headers);
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        let is_http_1_1 = request.version == Some(1);
        let asks_to_close = headers.contains_token("connection", "close");
        let keep_alive =
            !asks_to_close && (is_http_1_1 || headers.contains_token("connection", "keep-alive"));
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            headers,
            framing,
            keep_alive,
        };
        Ok(Some((head, length)))
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the peer keeps the connection open after this message.
    pub(crate) keep_alive: bool,
}

impl ResponseHead {
    /// Parses a head and returns it with its length in bytes; `None` while it is incomplete.
    ///
    /// `bodiless` tells that the request was one whose response has no body.
    pub(crate) fn parse(bytes: &[u8], bodiless: bool) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response
            .parse(bytes)
            .map_err(|_| HttpError::Malformed("response head"))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let headers = Headers::from_parsed(response.headers);
        let code = response.code.unwrap_or_default();
        if !STATUSES.contains(&code) || code == SWITCHING_PROTOCOLS {
            return Err(HttpError::Malformed("response status"));
        }
        let declared = headers.framing()?;
        if code < 200 && declared.is_some() {
            // An interim response has no body and no length; a final one has no such status.
            return Err(HttpError::Malformed("status of a final response"));
        }
        let has_no_body = bodiless || code < 200 || code == 204 || code == 304;
        let framing = match declared {
            _ if has_no_body => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let is_http_1_1 = response.version == Some(1);
        let asks_to_close =
            headers.contains_token("connection", "close") || framing == Framing::UntilClose;
        let keep_alive =
            !asks_to_close && (is_http_1_1 || headers.contains_token("connection", "keep-alive"));
        let reason = response.reason.unwrap_or_default().to_owned();
        Ok(Some((
            Self {
                status: code,
                reason,
                headers,
                framing,
                keep_alive,
            },
            length,
        )))
    }
}

#[cfg(test)]
mod tests;
