//! Heads of requests and answers.

use super::error::{HttpError, Result};

/// Headers that one message may have.
const HEADER_LIMIT: usize = 128;
/// Headers that concern one connection only.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// So many bytes.
    Length(usize),
    /// Chunks, the last one empty.
    Chunked,
    /// The end of the connection.
    UntilEnd,
}

/// Headers in their order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headers {
    list: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// The first value of a header, where it is text.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .list
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether a header is there.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.list
            .iter()
            .any(|(known, _)| known.eq_ignore_ascii_case(name))
    }

    /// Whether a header that lists words has one of them.
    pub(crate) fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(word))
        })
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let found = self
            .list
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name));
        found.filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Writes the headers that go on to the other side, but for those named.
    pub(crate) fn write_through(&self, bytes: &mut Vec<u8>, without: &[&str]) {
        for (name, value) in &self.list {
            let skipped = HOP
                .iter()
                .chain(without)
                .any(|other| name.eq_ignore_ascii_case(other));
            if skipped || self.lists("connection", name) {
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

    /// The framing that the headers state; a message that states two is refused.
    fn framing(&self) -> Result<Option<Framing>> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        if length.is_some_and(|first| lengths.any(|other| other.trim() != first.trim())) {
            return Err(HttpError::Malformed("two lengths"));
        }
        if self.has("transfer-encoding") {
            let chunked = self.all("transfer-encoding").eq(["chunked"])
                || self
                    .get("transfer-encoding")
                    .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
            return match (chunked, length) {
                (true, None) => Ok(Some(Framing::Chunked)),
                (true, Some(_)) => Err(HttpError::Malformed("a length beside chunks")),
                (false, _) => Err(HttpError::Malformed("unknown transfer encoding")),
            };
        }
        let Some(length) = length.map(str::trim) else {
            return if self.has("content-length") {
                Err(HttpError::Malformed("length is no text"))
            } else {
                Ok(None)
            };
        };
        let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
        let length = length.parse().ok().filter(|_| digits);
        length
            .map(|length| Some(Framing::Length(length)))
            .ok_or(HttpError::Malformed("length"))
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the other end keeps the connection open.
    pub(crate) keeps: bool,
}

impl RequestHead {
    /// Parses a head; `None` while it is not whole. The number counts its bytes.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
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
        let newer = request.version == Some(1);
        let closes = headers.lists("connection", "close");
        let keeps = !closes && (newer || headers.lists("connection", "keep-alive"));
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            headers,
            framing,
            keeps,
        };
        Ok(Some((head, length)))
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the other end keeps the connection open.
    pub(crate) keeps: bool,
}

impl ResponseHead {
    /// Parses a head; `None` while it is not whole. The number counts its bytes.
    ///
    /// `bodiless` says that the request was one whose answer has no body.
    pub(crate) fn parse(bytes: &[u8], bodiless: bool) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut response = httparse::Response::new(&mut headers);
        let status = response
            .parse(bytes)
            .map_err(|_| HttpError::Malformed("answer head"))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let headers = Headers::from_parsed(response.headers);
        let code = response.code.unwrap_or_default();
        let stated = headers.framing()?;
        let empty = bodiless || code < 200 || code == 204 || code == 304;
        let framing = match stated {
            _ if empty => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilEnd,
        };
        let newer = response.version == Some(1);
        let closes = headers.lists("connection", "close") || framing == Framing::UntilEnd;
        let keeps = !closes && (newer || headers.lists("connection", "keep-alive"));
        let reason = response.reason.unwrap_or_default().to_owned();
        Ok(Some((
            Self {
                status: code,
                reason,
                headers,
                framing,
                keeps,
            },
            length,
        )))
    }
}
