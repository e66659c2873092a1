//! INI parser that keeps line numbers, so that every finding can name its line.

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;

use indexmap::{IndexMap, IndexSet};

use super::findings::Findings;

/// A value and its line number.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Text after the `=`, without surrounding white space.
    pub text: String,
    /// Line number from 1.
    pub line: usize,
}

/// One `[kind name]` section.
#[derive(Debug, Default)]
pub struct Section {
    /// First word of the heading.
    pub kind: String,
    /// Rest of the heading; empty for `[kind]`.
    pub name: String,
    /// Line number of the heading.
    pub line: usize,
    /// Keys and values in the order of the file.
    pub pairs: IndexMap<String, Value>,
    used: RefCell<IndexSet<String>>,
}

/// Parses `text` into sections. Adds problems to `out` and returns what could be read.
pub fn parse(text: &str, out: &mut Findings) -> Vec<Section> {
    let mut list: Vec<Section> = Vec::new();
    let mut titles = IndexSet::new();
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let row = raw.trim();
        if row.is_empty() || row.starts_with([';', '#']) {
            continue;
        }
        if let Some(head) = row.strip_prefix('[') {
            parse_heading(head, line, &mut list, &mut titles, out);
            continue;
        }
        parse_pair(row, line, &mut list, out);
    }
    list
}

fn parse_heading(
    head: &str,
    line: usize,
    list: &mut Vec<Section>,
    titles: &mut IndexSet<String>,
    out: &mut Findings,
) {
    let Some(head) = head.strip_suffix(']') else {
        out.add(line, head, "section heading has no closing bracket");
        return;
    };
    let (kind, name) = head.trim().split_once(char::is_whitespace).unwrap_or((head.trim(), ""));
    let (kind, name) = (kind.to_owned(), name.trim().to_owned());
    let section = Section { kind, name, line, ..Section::default() };
    if !titles.insert(section.title()) {
        out.add(line, head, "duplicate section");
    }
    list.push(section);
}

fn parse_pair(row: &str, line: usize, list: &mut [Section], out: &mut Findings) {
    let Some((key, text)) = row.split_once('=') else {
        out.add(line, row, "expected `key = value`");
        return;
    };
    let key = key.trim();
    let Some(section) = list.last_mut() else {
        out.add(line, key, "key before the first section heading");
        return;
    };
    let value = Value { text: text.trim().to_owned(), line };
    if let Some(old) = section.pairs.insert(key.to_owned(), value) {
        out.add(line, key, format!("key was set before on line {}", old.line));
    }
}

impl Section {
    /// Heading without brackets: `kind name`, or `kind` if it has no name.
    pub fn title(&self) -> String {
        format!("{} {}", self.kind, self.name).trim().to_owned()
    }

    /// Returns the value of `key` and marks the key as known to [`Section::report_unknown`].
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.used.borrow_mut().insert(key.to_owned());
        self.pairs.get(key)
    }

    /// Parses the value of an optional key; `None` if it is absent. Adds a finding and returns
    /// `None` if it can't be parsed.
    pub fn read<T>(&self, key: &str, out: &mut Findings) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.get(key)?;
        match value.text.parse() {
            Ok(v) => Some(v),
            Err(e) => {
                out.add(value.line, key, format!("bad value `{}`: {e}", value.text));
                None
            }
        }
    }

    /// Returns the text of a required key. If it is missing or empty, adds a finding and returns an
    /// empty string.
    pub fn require(&self, key: &str, out: &mut Findings) -> String {
        match self.get(key) {
            Some(v) if !v.text.is_empty() => v.text.clone(),
            Some(v) => {
                out.add(v.line, key, "must not be empty");
                String::new()
            }
            None => {
                out.add(self.line, key, format!("missing in [{}]", self.title()));
                String::new()
            }
        }
    }

    /// Returns the words of a comma-separated list; empty if the key is absent.
    pub fn word_list(&self, key: &str) -> Vec<String> {
        let text = self.get(key).map_or("", |v| v.text.as_str());
        text.split(',').map(str::trim).filter(|w| !w.is_empty()).map(str::to_owned).collect()
    }

    /// Line number of `key`, or of the heading when the key is absent.
    pub fn line_of(&self, key: &str) -> usize {
        self.pairs.get(key).map_or(self.line, |v| v.line)
    }

    /// Adds a finding for every key that was never read.
    pub fn report_unknown(&self, out: &mut Findings) {
        let used = self.used.borrow();
        for (key, value) in &self.pairs {
            if !used.contains(key) {
                out.add(value.line, key, format!("unknown key in [{}]", self.title()));
            }
        }
    }
}

/// A boolean, written as `yes`, `true`, `no` or `false`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct YesNo(pub bool);

impl FromStr for YesNo {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "yes" | "true" => Ok(Self(true)),
            "no" | "false" => Ok(Self(false)),
            _ => Err("expected yes or no"),
        }
    }
}

/// A duration in milliseconds, written such as `30ms` or `1s 900ms`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationMs(pub u64);

impl FromStr for DurationMs {
    type Err = humantime::DurationError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(s).map(|d| Self(d.as_millis() as u64))
    }
}
