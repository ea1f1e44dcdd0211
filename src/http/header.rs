//! Header fields of a message, in the order in which they were received or added.

use std::fmt;

use thiserror::Error;

/// Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers whose values identify a caller.
const SECRET: [&str; 4] = ["authorization", "cookie", "proxy-authorization", "set-cookie"];

/// Header fields with names in lower case and values as bytes, because values need not be ASCII.
/// Debug output does not show the values that identify a caller.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<(Box<str>, Box<[u8]>)>,
}

/// Why a header field could not be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The value contains a line break or a NUL byte.
    #[error("header value contains a control character")]
    InvalidValue,
}

impl fmt::Debug for HeaderList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut list = formatter.debug_map();
        for (name, value) in self.iter() {
            let is_secret = SECRET.contains(&name);
            list.entry(
                &name,
                &if is_secret { "..".to_owned() } else { value.escape_ascii().to_string() },
            );
        }
        list.finish()
    }
}

impl HeaderList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the first value of `name`, which must be lower case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        for (field_name, value) in &self.fields {
            if **field_name == *name {
                return Some(value);
            }
        }
        None
    }

    /// Returns the first value of `name` as a string, or `None` when it is absent or not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Iterates over all values of `name`, which must be lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields
            .iter()
            .filter(move |(field_name, _)| &**field_name == name)
            .map(|(_, value)| &**value)
    }

    /// Iterates over the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(field_name, value)| (&**field_name, &**value))
    }

    /// Returns the number of fields.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Reports whether the list has no fields.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Adds a field without checking its value, which the parser has already done for received
    /// fields.
    pub(super) fn push_parsed(&mut self, name: &str, value: &[u8]) {
        self.fields.push((name.to_ascii_lowercase().into(), value.into()));
    }

    /// Adds a field; rejects a value that would break the message syntax.
    pub fn append(&mut self, name: &str, value: &[u8]) -> Result<(), HeaderError> {
        if value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0)) {
            return Err(HeaderError::InvalidValue);
        }
        self.push_parsed(name, value);
        Ok(())
    }

    /// Replaces all fields with this name by one field.
    pub fn set(&mut self, name: &str, value: &[u8]) -> Result<(), HeaderError> {
        self.remove(name);
        self.append(name, value)
    }

    /// Removes all fields with this name, which must be lower case.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field_name, _)| &**field_name != name);
    }

    /// Reports whether the comma-separated list in header `name` contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        for value in self.values(name) {
            for item in value.split(|byte| *byte == b',') {
                if item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()) {
                    return true;
                }
            }
        }
        false
    }

    /// Removes the hop-by-hop headers, including those listed in `Connection`.
    pub fn remove_hop_by_hop(&mut self) {
        let mut connection_options: Vec<Box<str>> = Vec::new();
        for value in self.values("connection") {
            for item in value.split(|byte| *byte == b',') {
                let Ok(name) = std::str::from_utf8(item.trim_ascii()) else {
                    continue;
                };
                let name = name.to_ascii_lowercase();
                // A peer must not be able to remove headers that framing or routing depend on.
                if name == "content-length" || name == "host" {
                    continue;
                }
                connection_options.push(name.into());
            }
        }
        self.fields.retain(|(field_name, _)| {
            !HOP_BY_HOP.contains(&&**field_name)
                && !connection_options.iter().any(|name| name == field_name)
        });
    }

    /// Appends all serialized fields.
    pub fn write_to(&self, output: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            output.extend_from_slice(name.as_bytes());
            output.extend_from_slice(b": ");
            output.extend_from_slice(value);
            output.extend_from_slice(b"\r\n");
        }
    }
}
