//! Header fields of a message in the order received.

use thiserror::Error;

/// Headers that apply to one connection only and are never forwarded (RFC 9110, section 7.6.1).
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

/// Header fields with lower-case names; values are bytes, because they need not be ASCII.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<(Box<str>, Box<[u8]>)>,
}

/// Why a header could not be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The value contains a line break or a NUL byte.
    #[error("header value contains a control character")]
    InvalidValue,
}

impl HeaderList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the first value of `name`, which must be lower case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        for (key, value) in &self.fields {
            if **key == *name {
                return Some(value);
            }
        }
        None
    }

    /// Returns the first value of `name` as text, or `None` when absent or not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Iterates over all values of `name`.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields.iter().filter(move |(key, _)| &**key == name).map(|(_, value)| &**value)
    }

    /// Iterates over all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(key, value)| (&**key, &**value))
    }

    /// Returns the number of fields.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Reports whether there is no field.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Adds a field that came off the wire and was checked by the parser.
    pub(super) fn push_parsed(&mut self, name: &str, value: &[u8]) {
        self.fields.push((name.to_ascii_lowercase().into(), value.into()));
    }

    /// Adds a field.
    pub fn append(&mut self, name: &str, value: &[u8]) -> Result<(), HeaderError> {
        if value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0)) {
            return Err(HeaderError::InvalidValue);
        }
        self.push_parsed(name, value);
        Ok(())
    }

    /// Replaces all values of `name`.
    pub fn set(&mut self, name: &str, value: &[u8]) -> Result<(), HeaderError> {
        self.remove(name);
        self.append(name, value)
    }

    /// Removes all values of `name`.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(key, _)| &**key != name);
    }

    /// Reports whether a comma-separated list header contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        for value in self.values(name) {
            for part in value.split(|byte| *byte == b',') {
                if part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()) {
                    return true;
                }
            }
        }
        false
    }

    /// Removes the hop-by-hop headers, including those that `Connection` names.
    pub fn remove_hop_by_hop(&mut self) {
        let mut named: Vec<Box<str>> = Vec::new();
        for value in self.values("connection") {
            for part in value.split(|byte| *byte == b',') {
                let Ok(name) = std::str::from_utf8(part.trim_ascii()) else {
                    continue;
                };
                let name = name.to_ascii_lowercase();
                // Framing headers stay under the control of this process, whatever a peer names.
                if name == "content-length" || name == "host" {
                    continue;
                }
                named.push(name.into());
            }
        }
        self.fields.retain(|(key, _)| {
            !HOP_BY_HOP.contains(&&**key) && !named.iter().any(|name| name == key)
        });
    }

    /// Writes all fields in wire form.
    pub fn write_to(&self, output: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            output.extend_from_slice(name.as_bytes());
            output.extend_from_slice(b": ");
            output.extend_from_slice(value);
            output.extend_from_slice(b"\r\n");
        }
    }
}
