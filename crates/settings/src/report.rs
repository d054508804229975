//! The report of the findings in one file.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// The result of reading a file.
pub type Result<T> = std::result::Result<T, Report>;

/// All findings in one file, each with its location.
#[derive(Debug)]
pub struct Report {
    source: NamedSource<String>,
    labels: Vec<LabeledSpan>,
    messages: Vec<String>,
}

impl Report {
    pub(crate) fn new(
        file_name: &str,
        text: &str,
        findings: Vec<crate::reader::LocatedFinding>,
    ) -> Self {
        let labels = findings
            .iter()
            .map(|finding| LabeledSpan::at(finding.span.clone(), finding.text.clone()))
            .collect();
        Self {
            source: NamedSource::new(file_name, text.to_owned()),
            labels,
            messages: findings.into_iter().map(|finding| finding.text).collect(),
        }
    }

    /// The findings as sentences, in file order.
    pub fn messages(&self) -> &[String] {
        &self.messages
    }

    /// The byte offset and length of each finding, in file order.
    pub fn spans(&self) -> Vec<(usize, usize)> {
        self.labels
            .iter()
            .map(|label| (label.offset(), label.len()))
            .collect()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.messages.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(f, "{}: {count} {noun}", self.source.name())
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(
            "docs/settings.md lists every field, its type and its range",
        ))
    }
}
