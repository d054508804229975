//! Reads TOML tables field by field and collects findings.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use amaranthshunt_core::finding::Finding;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A finding and its byte range in the file.
#[derive(Clone, Debug)]
pub(crate) struct LocatedFinding {
    pub(crate) span: Range<usize>,
    pub(crate) text: String,
}

/// The findings in a file so far, and the byte ranges of the fields read.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    located: Vec<LocatedFinding>,
    spans: BTreeMap<String, Range<usize>>,
}

impl Findings {
    pub(crate) fn add(&mut self, span: Range<usize>, text: impl Into<String>) {
        let text = text.into();
        self.located.push(LocatedFinding { span, text });
    }

    /// Adds a finding of the core at its field, or at the nearest parent that is in the file.
    pub(crate) fn add_at_path(&mut self, finding: &Finding) {
        let mut path = finding.path.as_str();
        let span = loop {
            if let Some(span) = self.spans.get(path) {
                break span.clone();
            }
            match path.rsplit_once(['.', '[']) {
                Some((parent, _)) => path = parent,
                None => break 0..0,
            }
        };
        self.add(span, finding.to_string());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.located.is_empty()
    }

    pub(crate) fn into_sorted(mut self) -> Vec<LocatedFinding> {
        self.located.sort_by_key(|found| found.span.start);
        self.located
    }

    fn record_span(&mut self, path: &str, span: Range<usize>) {
        self.spans.insert(path.to_owned(), span);
    }
}

/// Parses a file into its root table, and records the syntax errors.
pub(crate) fn parse<'a>(text: &'a str, findings: &mut Findings) -> Section<'a> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let span = error.span().unwrap_or(0..0);
        findings.add(span, error.message());
    }
    let span = table.span();
    Section {
        path: String::new(),
        span,
        table: table.into_inner(),
    }
}

/// A table whose fields are removed as they are read, so that the unknown ones remain.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    path: String,
    span: Range<usize>,
    table: DeTable<'a>,
}

impl<'a> Section<'a> {
    /// Reads a required string; empty on error.
    pub(crate) fn text(&mut self, name: &str, findings: &mut Findings) -> String {
        let value = self.required(name, findings);
        value
            .and_then(|value| string_value(&value, &self.path(name), findings))
            .unwrap_or_default()
    }

    /// Reads a required string and parses it; `expected` describes the format in findings.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let value = self.required(name, findings)?;
        self.parse_value(&value, name, expected, findings)
    }

    /// Like [`Section::parsed`], for an optional field.
    pub(crate) fn optional<T: std::str::FromStr>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let value = self.take(name, findings)?;
        self.parse_value(&value, name, expected, findings)
    }

    /// Reads a list of strings and parses each; a missing list is empty.
    pub(crate) fn list<T: std::str::FromStr>(
        &mut self,
        name: &str,
        expected: &str,
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
            .filter_map(|item| self.parse_value(item, name, expected, findings))
            .collect()
    }

    /// Reads a whole number within `range`; the field is required if `default` is `None`.
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
        let converted = number.and_then(|number| u32::try_from(number).ok());
        match converted.filter(|number| range.contains(number)) {
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

    /// Reads a duration in milliseconds, or returns `default`.
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

    /// Reads a boolean, or returns `default`.
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

    /// Reads a table; a missing one counts as empty, and is reported unless `optional`.
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
        Section { path, span, table }
    }

    /// Reads a list of tables; a missing list is empty.
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
            let path = format!("{}[{index}]", self.path(name));
            findings.record_span(&path, span.clone());
            match item.into_inner() {
                DeValue::Table(table) => sections.push(Section { path, span, table }),
                _ => findings.add(span, format!("`{path}` must be a table")),
            }
        }
        sections
    }

    /// The names of the fields that have not been read.
    pub(crate) fn remaining_names(&self) -> Vec<String> {
        self.table
            .keys()
            .map(|key| key.get_ref().to_string())
            .collect()
    }

    /// Reports every field that has not been read as unknown.
    pub(crate) fn finish(self, findings: &mut Findings) {
        for (key, _) in &self.table {
            let path = self.path(key.get_ref());
            findings.add(key.span(), format!("`{path}` is not a known field"));
        }
    }

    fn path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn take(&mut self, name: &str, findings: &mut Findings) -> Option<Spanned<DeValue<'a>>> {
        let value = self.table.remove(name)?;
        findings.record_span(&self.path(name), value.span());
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
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let path = self.path(name);
        let text = string_value(value, &path, findings)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            findings.add(value.span(), format!("`{path}` must be {expected}"));
        }
        parsed
    }
}

fn string_value(
    value: &Spanned<DeValue<'_>>,
    path: &str,
    findings: &mut Findings,
) -> Option<String> {
    if let DeValue::String(text) = value.get_ref() {
        return Some(text.to_string());
    }
    findings.add(value.span(), format!("`{path}` must be a string"));
    None
}
