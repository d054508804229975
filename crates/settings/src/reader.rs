//! Reads TOML tables field by field and collects what is wrong.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use amaranthshunt_core::finding::Finding;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A finding and the bytes of the file that it is about.
#[derive(Clone, Debug)]
pub(crate) struct Located {
    pub(crate) span: Range<usize>,
    pub(crate) text: String,
}

/// What was found in a file so far.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    located: Vec<Located>,
    spans: BTreeMap<String, Range<usize>>,
}

impl Findings {
    pub(crate) fn add(&mut self, span: Range<usize>, text: impl Into<String>) {
        let text = text.into();
        self.located.push(Located { span, text });
    }

    /// Adds a finding of the core at the place that it names.
    pub(crate) fn add_placed(&mut self, finding: &Finding) {
        let mut place = finding.place.as_str();
        let span = loop {
            if let Some(span) = self.spans.get(place) {
                break span.clone();
            }
            match place.rsplit_once(['.', '[']) {
                Some((parent, _)) => place = parent,
                None => break 0..0,
            }
        };
        self.add(span, finding.to_string());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.located.is_empty()
    }

    pub(crate) fn into_located(mut self) -> Vec<Located> {
        self.located.sort_by_key(|found| found.span.start);
        self.located
    }

    fn remember(&mut self, place: &str, span: Range<usize>) {
        self.spans.insert(place.to_owned(), span);
    }
}

/// Parses a file into its root table.
pub(crate) fn parse<'a>(text: &'a str, findings: &mut Findings) -> Section<'a> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let span = error.span().unwrap_or(0..0);
        findings.add(span, error.message());
    }
    let span = table.span();
    Section {
        place: String::new(),
        span,
        table: table.into_inner(),
    }
}

/// A table whose fields are taken out one by one.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    place: String,
    span: Range<usize>,
    table: DeTable<'a>,
}

impl<'a> Section<'a> {
    /// A text that has to be there.
    pub(crate) fn text(&mut self, name: &str, findings: &mut Findings) -> String {
        let value = self.required(name, findings);
        value
            .and_then(|value| text_of(&value, &self.path(name), findings))
            .unwrap_or_default()
    }

    /// A text that is parsed into a value; `what` names the form that is wanted.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &mut self,
        name: &str,
        what: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let value = self.required(name, findings)?;
        self.parse_value(&value, name, what, findings)
    }

    /// As [`Section::parsed`], for a field that may be left out.
    pub(crate) fn optional<T: std::str::FromStr>(
        &mut self,
        name: &str,
        what: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let value = self.take(name, findings)?;
        self.parse_value(&value, name, what, findings)
    }

    /// A list of texts that are parsed; an absent list is empty.
    pub(crate) fn list<T: std::str::FromStr>(
        &mut self,
        name: &str,
        what: &str,
        findings: &mut Findings,
    ) -> Vec<T> {
        let Some(value) = self.take(name, findings) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            findings.add(
                value.span(),
                format!("`{}` must be a list", self.path(name)),
            );
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.parse_value(item, name, what, findings))
            .collect()
    }

    /// A whole number within a range, or a default.
    pub(crate) fn number(
        &mut self,
        name: &str,
        range: Range<u32>,
        default: Option<u32>,
        findings: &mut Findings,
    ) -> u32 {
        let value = match default {
            None => self.required(name, findings),
            Some(_) => self.take(name, findings),
        };
        let Some(value) = value else {
            return default.unwrap_or(range.start);
        };
        let number = match value.get_ref() {
            DeValue::Integer(digits) => i64::from_str_radix(digits.as_str(), digits.radix()).ok(),
            _ => None,
        };
        let fitting = number.and_then(|number| u32::try_from(number).ok());
        match fitting.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let path = self.path(name);
                let text = format!(
                    "`{path}` must be a whole number from {} to {}",
                    range.start,
                    range.end - 1
                );
                findings.add(value.span(), text);
                default.unwrap_or(range.start)
            }
        }
    }

    /// A span in milliseconds, or a default.
    pub(crate) fn millis(
        &mut self,
        name: &str,
        range: Range<u32>,
        default: Duration,
        findings: &mut Findings,
    ) -> Duration {
        let default = default.as_millis() as u32;
        let millis = self.number(name, range, Some(default), findings);
        Duration::from_millis(u64::from(millis))
    }

    /// Yes or no, or a default.
    pub(crate) fn flag(&mut self, name: &str, default: bool, findings: &mut Findings) -> bool {
        let Some(value) = self.take(name, findings) else {
            return default;
        };
        if let DeValue::Boolean(flag) = value.get_ref() {
            return *flag;
        }
        findings.add(
            value.span(),
            format!("`{}` must be true or false", self.path(name)),
        );
        default
    }

    /// A table that has to be there, unless `optional`.
    pub(crate) fn section(
        &mut self,
        name: &str,
        optional: bool,
        findings: &mut Findings,
    ) -> Section<'a> {
        let path = self.path(name);
        let value = if optional {
            self.take(name, findings)
        } else {
            self.required(name, findings)
        };
        let span = value.as_ref().map_or(self.span.clone(), Spanned::span);
        let table = match value.map(Spanned::into_inner) {
            Some(DeValue::Table(table)) => table,
            None => DeTable::new(),
            Some(_) => {
                findings.add(span.clone(), format!("`{path}` must be a table"));
                DeTable::new()
            }
        };
        Section {
            place: path,
            span,
            table,
        }
    }

    /// A list of tables; an absent list is empty.
    pub(crate) fn sections(&mut self, name: &str, findings: &mut Findings) -> Vec<Section<'a>> {
        let Some(value) = self.take(name, findings) else {
            return Vec::new();
        };
        let span = value.span();
        let DeValue::Array(items) = value.into_inner() else {
            findings.add(
                span,
                format!("`{}` must be a list of tables", self.path(name)),
            );
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            let span = item.span();
            let place = format!("{}[{index}]", self.path(name));
            findings.remember(&place, span.clone());
            match item.into_inner() {
                DeValue::Table(table) => sections.push(Section { place, span, table }),
                _ => findings.add(span, format!("`{place}` must be a table")),
            }
        }
        sections
    }

    /// The names of the fields that are left.
    pub(crate) fn names(&self) -> Vec<String> {
        self.table
            .keys()
            .map(|key| key.get_ref().to_string())
            .collect()
    }

    /// Reports every field that was not taken out.
    pub(crate) fn finish(self, findings: &mut Findings) {
        for (key, _) in &self.table {
            let path = self.path(key.get_ref());
            findings.add(key.span(), format!("`{path}` is no known field"));
        }
    }

    fn path(&self, name: &str) -> String {
        if self.place.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.place)
        }
    }

    fn take(&mut self, name: &str, findings: &mut Findings) -> Option<Spanned<DeValue<'a>>> {
        let value = self.table.remove(name)?;
        findings.remember(&self.path(name), value.span());
        Some(value)
    }

    fn required(&mut self, name: &str, findings: &mut Findings) -> Option<Spanned<DeValue<'a>>> {
        let value = self.take(name, findings);
        if value.is_none() {
            let text = format!("`{}` is missing", self.path(name));
            findings.add(self.span.clone(), text);
        }
        value
    }

    fn parse_value<T: std::str::FromStr>(
        &self,
        value: &Spanned<DeValue<'_>>,
        name: &str,
        what: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let path = self.path(name);
        let text = text_of(value, &path, findings)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            findings.add(value.span(), format!("`{path}` must be {what}"));
        }
        parsed
    }
}

fn text_of(value: &Spanned<DeValue<'_>>, path: &str, findings: &mut Findings) -> Option<String> {
    if let DeValue::String(text) = value.get_ref() {
        return Some(text.to_string());
    }
    findings.add(value.span(), format!("`{path}` must be a text"));
    None
}
