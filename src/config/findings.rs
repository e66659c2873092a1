//! Problems found in an input, collected with their place and reported together.

use std::fmt;

/// One problem at one place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// File name as given by the user.
    pub file: String,
    /// Line number from 1; 0 when the whole file is meant.
    pub line: usize,
    /// Key or section concerned.
    pub key: String,
    /// What is wrong, in lower case.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.text)
    }
}

/// All problems of one input, in the order of their lines.
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

    /// True when nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The problems, in the order of their lines.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// `Ok(value)` when nothing was found, else all problems.
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
