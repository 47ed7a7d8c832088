//! Object in a settings file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged as _;

use super::line_index::LineIndex;
use crate::SettingsFault;

/// Object in a settings file; it tracks which fields were read.
///
/// A missing or malformed field is recorded as a fault and read as the default of its type, so that
/// all faults of a file are reported together.
#[derive(Debug)]
pub struct SettingsObject<'a> {
    object: &'a Object<'a>,
    path: String,
    lines: &'a LineIndex,
    faults: &'a RefCell<Vec<SettingsFault>>,
    read_fields: RefCell<BTreeSet<String>>,
}

impl<'a> SettingsObject<'a> {
    pub(super) fn root(
        object: &'a Object<'a>,
        lines: &'a LineIndex,
        faults: &'a RefCell<Vec<SettingsFault>>,
    ) -> Self {
        Self {
            object,
            path: String::new(),
            lines,
            faults,
            read_fields: RefCell::default(),
        }
    }

    /// Reads a required string.
    #[must_use]
    pub fn string(&self, name: &str) -> String {
        self.required(name, Self::opt_string)
    }

    /// Reads an optional string.
    #[must_use]
    pub fn opt_string(&self, name: &str) -> Option<String> {
        match self.value(name)? {
            Value::StringLit(text) => Some(text.value.to_string()),
            other => self.malformed(name, other, "a text"),
        }
    }

    /// Reads an optional string that is parsed as `T`, such as an address.
    #[must_use]
    pub fn opt_parsed<T: FromStr>(&self, name: &str, expected: &str) -> Option<T> {
        match self.value(name)? {
            value @ Value::StringLit(text) => {
                let parsed = text.value.parse().ok();
                parsed.or_else(|| self.malformed(name, value, expected))
            }
            other => self.malformed(name, other, expected),
        }
    }

    /// Reads a required address with a port.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        let address = self.opt_address(name);
        if address.is_none() {
            self.record_missing(name);
        }
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads an optional address with a port.
    #[must_use]
    pub fn opt_address(&self, name: &str) -> Option<SocketAddr> {
        self.opt_parsed(name, "an address with a port, such as `127.0.0.1:8080`")
    }

    /// Reads a required non-negative integer.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.required(name, Self::opt_number)
    }

    /// Reads an optional non-negative integer.
    #[must_use]
    pub fn opt_number(&self, name: &str) -> Option<u64> {
        match self.value(name)? {
            value @ Value::NumberLit(number) => {
                let parsed = number.value.parse().ok();
                parsed.or_else(|| self.malformed(name, value, "a whole number"))
            }
            other => self.malformed(name, other, "a whole number"),
        }
    }

    /// Reads an optional number.
    #[must_use]
    pub fn opt_float(&self, name: &str) -> Option<f64> {
        match self.value(name)? {
            value @ Value::NumberLit(number) => {
                let parsed = number.value.parse().ok();
                parsed.or_else(|| self.malformed(name, value, "a number"))
            }
            other => self.malformed(name, other, "a number"),
        }
    }

    /// Reads an optional duration in milliseconds.
    #[must_use]
    pub fn opt_millis(&self, name: &str) -> Option<Duration> {
        self.opt_number(name).map(Duration::from_millis)
    }

    /// Reads an optional boolean.
    #[must_use]
    pub fn opt_flag(&self, name: &str) -> Option<bool> {
        match self.value(name)? {
            Value::BooleanLit(flag) => Some(flag.value),
            other => self.malformed(name, other, "`true` or `false`"),
        }
    }

    /// Reads a list of strings; an absent list is empty.
    #[must_use]
    pub fn strings(&self, name: &str) -> Vec<String> {
        let text = |value: &Value<'_>| match value {
            Value::StringLit(text) => Some(text.value.to_string()),
            other => self.malformed(name, other, "a text"),
        };
        self.elements(name).iter().filter_map(text).collect()
    }

    /// Reads an optional object.
    pub fn object<T>(&self, name: &str, build: impl FnOnce(&SettingsObject<'_>) -> T) -> Option<T> {
        match self.value(name)? {
            Value::Object(object) => Some(self.child(object, name, build)),
            other => self.malformed(name, other, "an object"),
        }
    }

    /// Reads a list of objects; an absent list is empty.
    pub fn objects<T>(&self, name: &str, build: impl Fn(&SettingsObject<'_>) -> T) -> Vec<T> {
        let mut items = Vec::new();
        for (index, value) in self.elements(name).iter().enumerate() {
            let element_name = format!("{name}[{index}]");
            match value {
                Value::Object(object) => items.push(self.child(object, &element_name, &build)),
                other => {
                    self.malformed::<T>(&element_name, other, "an object");
                }
            }
        }
        items
    }

    /// Records a fault of a field whose value was read but is not valid.
    pub fn reject(&self, name: &str, reason: impl Into<String>) {
        let offset = self
            .object
            .get(name)
            .map_or(self.object.range.start, |prop| prop.range.start);
        self.record_fault(offset, name, reason.into());
    }

    pub(super) fn check_unknown_fields(&self) {
        let read_fields = self.read_fields.borrow();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !read_fields.contains(name) {
                self.record_fault(property.range.start, name, "unknown field".to_owned());
            }
        }
    }

    fn child<T>(
        &self,
        object: &Object<'_>,
        name: &str,
        build: impl FnOnce(&SettingsObject<'_>) -> T,
    ) -> T {
        let child = SettingsObject {
            object,
            path: self.field_path(name),
            lines: self.lines,
            faults: self.faults,
            read_fields: RefCell::default(),
        };
        let value = build(&child);
        child.check_unknown_fields();
        value
    }

    fn elements(&self, name: &str) -> &'a [Value<'a>] {
        match self.value(name) {
            Some(Value::Array(array)) => &array.elements,
            Some(other) => {
                self.malformed::<()>(name, other, "a list");
                &[]
            }
            None => &[],
        }
    }

    fn required<T: Default>(&self, name: &str, read: impl Fn(&Self, &str) -> Option<T>) -> T {
        let value = read(self, name);
        if value.is_none() {
            self.record_missing(name);
        }
        value.unwrap_or_default()
    }

    fn value(&self, name: &str) -> Option<&'a Value<'a>> {
        self.read_fields.borrow_mut().insert(name.to_owned());
        self.object.get(name).map(|property| &property.value)
    }

    fn record_missing(&self, name: &str) {
        if self.object.get(name).is_none() {
            self.record_fault(self.object.range.start, name, "field is missing".to_owned());
        }
    }

    fn malformed<T>(&self, name: &str, value: &Value<'_>, expected: &str) -> Option<T> {
        self.record_fault(value.range().start, name, format!("expected {expected}"));
        None
    }

    fn record_fault(&self, offset: usize, name: &str, reason: String) {
        let line = self.lines.line(offset);
        let fault = SettingsFault {
            line,
            field: self.field_path(name),
            reason,
        };
        self.faults.borrow_mut().push(fault);
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }
}
