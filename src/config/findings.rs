//! Problems found in an input file, collected with their line numbers and reported together.

use std::fmt;

/// One problem at one line of an input file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// File name as given by the user.
    pub file: String,
    /// Line number, from 1; 0 when the problem concerns the whole file.
    pub line: usize,
    /// Key or section concerned.
    pub key: String,
    /// Description of the problem, starting in lower case.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.text)
    }
}

/// All problems of one input file. [`Findings::finish`] sorts them by line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    file: String,
    list: Vec<Finding>,
}

impl Findings {
    /// An empty list for the input called `file`.
    pub fn new(file: &str) -> Self {
        Self { file: file.to_owned(), list: Vec::new() }
    }

    /// Adds one problem.
    pub fn add(&mut self, line: usize, key: &str, text: impl Into<String>) {
        self.list.push(Finding {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            text: text.into(),
        });
    }

    /// True when there are no problems.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The problems; sorted by line once [`Findings::finish`] has returned them.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `Ok(value)` when there are no problems, otherwise all problems sorted by line.
    pub fn finish<T>(mut self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|f| f.line);
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
