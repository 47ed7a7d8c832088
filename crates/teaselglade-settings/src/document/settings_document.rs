//! Settings file and its parsing.

use std::cell::RefCell;
use std::fs;
use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged as _;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::SettingsObject;
use super::line_index::LineIndex;
use crate::{Result, SettingsError, SettingsFault};

/// Contents of a settings file.
///
/// # Examples
///
/// ```
/// use teaselglade_settings::SettingsDocument;
///
/// let document = SettingsDocument::from_text("demo.jsonc", "{ \"port\": 1, /* why */ \"x\": 2 }");
/// let error = document.read(|root| root.string("host")).unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "demo.jsonc: line 1, field `host`: field is missing\n\
///      demo.jsonc: line 1, field `port`: unknown field\n\
///      demo.jsonc: line 1, field `x`: unknown field",
/// );
/// ```
#[derive(Debug, Clone)]
pub struct SettingsDocument {
    file: String,
    text: String,
}

impl SettingsDocument {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn from_file(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Self { file, text }),
            Err(error) => {
                let fault = SettingsFault {
                    line: 1,
                    field: String::new(),
                    reason: error.to_string(),
                };
                Err(SettingsError {
                    file,
                    faults: vec![fault],
                })
            }
        }
    }

    /// Creates a document from `text`; faults name it `file`.
    pub fn from_text(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }

    /// Parses the file and builds the settings from the fields that `build` reads.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all missing, malformed and unknown fields. Fields that `build`
    /// does not read are unknown.
    pub fn read<T>(&self, build: impl FnOnce(&SettingsObject<'_>) -> T) -> Result<T> {
        let lines = LineIndex::new(&self.text);
        let faults = RefCell::new(Vec::new());
        let parsed = parse_to_ast(
            &self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let value = match parsed {
            Ok(result) => result.value,
            Err(error) => {
                let line = lines.line(error.range().start);
                return Err(self.error(vec![fault(line, error.kind().to_string())]));
            }
        };
        let Some(Value::Object(object)) = value else {
            let line = value.map_or(1, |value| lines.line(value.range().start));
            return Err(self.error(vec![fault(line, "the file holds no object".to_owned())]));
        };
        let root = SettingsObject::root(&object, &lines, &faults);
        let settings = build(&root);
        root.check_unknown_fields();
        let mut faults = faults.into_inner();
        if faults.is_empty() {
            return Ok(settings);
        }
        faults.sort();
        Err(self.error(faults))
    }

    fn error(&self, faults: Vec<SettingsFault>) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            faults,
        }
    }
}

fn fault(line: usize, reason: String) -> SettingsFault {
    SettingsFault {
        line,
        field: String::new(),
        reason,
    }
}
