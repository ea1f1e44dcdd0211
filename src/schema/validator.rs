//! Walks a parsed text and a schema together.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::{Array, Object, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use serde_json::{Map, Number, Value};

use super::document::{CheckedDocument, DocumentOutline, LineIndex, SchemaError, join_path};
use super::format::TextFormat;
use super::{DEPTH_LIMIT, DOCUMENT_LIMIT, ERROR_LIMIT};

/// Characters of a found text that an error message repeats.
const QUOTE_LENGTH: usize = 48;

/// Largest edit distance between an unknown key and the key that is suggested for it.
const SUGGESTION_DISTANCE: usize = 2;

/// Comments and trailing commas are the only extensions of JSON that are read.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

pub(super) fn validate(
    file: &Value,
    root: &Value,
    text: &str,
    prefix: &str,
) -> Result<CheckedDocument, Vec<SchemaError>> {
    with_root(text, prefix, |index, node| {
        let mut walk = SchemaWalk { file, index, errors: Vec::new(), positions: BTreeMap::new() };
        let value = walk.check(root, node, prefix);
        if !walk.errors.is_empty() {
            walk.errors.sort_by_key(|error| (error.line, error.column));
            return Err(walk.errors);
        }
        let SchemaWalk { index, positions, .. } = walk;
        Ok(CheckedDocument { value, positions, index, prefix: prefix.into() })
    })
}

/// Returns the keys of the outermost object and the name of its team, without any schema.
pub(super) fn outline(text: &str) -> Result<DocumentOutline, Vec<SchemaError>> {
    with_root(text, "", |_, node| {
        let mut outline = DocumentOutline::default();
        let Node::Object(object) = node else {
            return Ok(outline);
        };
        for property in &object.properties {
            outline.keys.insert(property.name.as_str().into());
            let Node::StringLit(value) = &property.value else {
                continue;
            };
            if property.name.as_str() == "team" && TextFormat::Name.allows(&value.value) {
                outline.team = Some(value.value.as_ref().into());
            }
        }
        Ok(outline)
    })
}

/// Parses a text within the limits and passes its outermost value on.
fn with_root<T>(
    text: &str,
    prefix: &str,
    read: impl FnOnce(LineIndex, &Node<'_>) -> Result<T, Vec<SchemaError>>,
) -> Result<T, Vec<SchemaError>> {
    if text.len() > DOCUMENT_LIMIT {
        let message =
            format!("document has {} bytes, at most {DOCUMENT_LIMIT} are allowed", text.len());
        return Err(vec![single(prefix, message)]);
    }
    let index = LineIndex::new(text);
    if let Some(offset) = too_deep(text) {
        let message = format!("more than {DEPTH_LIMIT} levels of objects and lists");
        return Err(vec![index.error(offset, prefix.into(), message.into())]);
    }
    let collect = CollectOptions { comments: CommentCollectionStrategy::Off, tokens: false };
    let parsed = match parse_to_ast(text, &collect, &PARSE_OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            let message = format!("syntax error: {}", error.kind());
            return Err(vec![index.error(error.range().start, prefix.into(), message.into())]);
        }
    };
    let Some(node) = parsed.value else {
        return Err(vec![index.error(0, prefix.into(), "document is empty".into())]);
    };
    read(index, &node)
}

fn single(prefix: &str, message: String) -> SchemaError {
    SchemaError { line: 1, column: 1, path: prefix.into(), message: message.into() }
}

/// Returns the offset of the first bracket beyond the depth limit, before anything is parsed.
fn too_deep(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0;
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = string_end(bytes, at),
            b'/' if bytes.get(at + 1) == Some(&b'/') => {
                at +=
                    bytes[at..].iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len() - at);
            }
            b'/' if bytes.get(at + 1) == Some(&b'*') => {
                let end = bytes[at + 2..].windows(2).position(|pair| pair == b"*/");
                at = end.map_or(bytes.len(), |length| at + 3 + length);
            }
            b'{' | b'[' => {
                depth += 1;
                if depth > DEPTH_LIMIT {
                    return Some(at);
                }
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        at += 1;
    }
    None
}

fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at
}

struct SchemaWalk<'s> {
    file: &'s Value,
    index: LineIndex,
    errors: Vec<SchemaError>,
    positions: BTreeMap<Box<str>, usize>,
}

impl<'s> SchemaWalk<'s> {
    fn report(&mut self, offset: usize, path: &str, message: String) {
        if !self.is_full() {
            self.errors.push(self.index.error(offset, path.into(), message.into()));
        }
    }

    /// Tells whether the walk can end, because further errors are not reported.
    fn is_full(&self) -> bool {
        self.errors.len() >= ERROR_LIMIT
    }

    fn resolve(&self, schema: &'s Value) -> &'s Value {
        let Some(target) = schema.get("$ref").and_then(Value::as_str) else {
            return schema;
        };
        let pointer = target.strip_prefix('#').expect("references stay in one schema file");
        self.file.pointer(pointer).expect("references name an existing definition")
    }

    /// Checks one value and returns it as JSON without comments.
    fn check(&mut self, schema: &'s Value, node: &Node<'_>, path: &str) -> Value {
        let schema = self.resolve(schema);
        let offset = node.range().start;
        self.positions.insert(path.into(), offset);
        if !fits(schema, node) {
            let message = format!("expected {}, found {}", describe(schema), found(node));
            self.report(offset, path, message);
            return Value::Null;
        }
        match node {
            Node::Object(object) => self.check_object(schema, object, path),
            Node::Array(array) => self.check_array(schema, array, path),
            Node::StringLit(text) => Value::from(text.value.as_ref()),
            Node::NumberLit(number) => read_number(number.value),
            Node::BooleanLit(boolean) => Value::from(boolean.value),
            Node::NullKeyword(_) => Value::Null,
        }
    }

    fn check_object(&mut self, schema: &'s Value, object: &Object<'_>, path: &str) -> Value {
        let mut map = Map::new();
        for property in &object.properties {
            if self.is_full() {
                break;
            }
            let name = property.name.as_str();
            let offset = property.name.range().start;
            let inner = join_path(path, &quote(name));
            if map.contains_key(name) {
                self.report(offset, &inner, "the key is given twice".to_owned());
                continue;
            }
            let Some(value_schema) = self.property_schema(schema, name, offset, &inner) else {
                map.insert(name.to_owned(), Value::Null);
                continue;
            };
            let value = self.check(value_schema, &property.value, &inner);
            map.insert(name.to_owned(), value);
        }
        let start = object.range.start;
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !map.contains_key(name) {
                let expected = describe(self.resolve(&schema["properties"][name]));
                let message = format!("missing key `{name}`, expected {expected}");
                self.report(start, path, message);
            }
        }
        let most = schema["maxProperties"].as_u64().unwrap_or(u64::MAX);
        if map.len() as u64 > most {
            self.report(start, path, format!("expected at most {most} keys, found {}", map.len()));
        }
        Value::Object(map)
    }

    fn property_schema(
        &mut self,
        schema: &'s Value,
        name: &str,
        offset: usize,
        path: &str,
    ) -> Option<&'s Value> {
        if let Some(known) = schema["properties"].get(name) {
            return Some(known);
        }
        let other = &schema["additionalProperties"];
        if !other.is_object() {
            let message = unknown_key(schema, name);
            self.report(offset, path, message);
            return None;
        }
        if let Some(format) = format_of(&schema["propertyNames"])
            && !format.allows(name)
        {
            let message = format!("expected {} as key", format.description());
            self.report(offset, path, message);
            return None;
        }
        Some(other)
    }

    fn check_array(&mut self, schema: &'s Value, array: &Array<'_>, path: &str) -> Value {
        let mut list = Vec::new();
        let mut seen = BTreeSet::new();
        let unique = schema["x-unique"].as_str();
        for (position, node) in array.elements.iter().enumerate() {
            if self.is_full() {
                break;
            }
            let inner = format!("{path}[{position}]");
            let value = self.check(&schema["items"], node, &inner);
            if let Some(text) = unique.and_then(|key| value.get(key)).and_then(Value::as_str)
                && !seen.insert(text.to_owned())
            {
                let key = unique.unwrap_or_default();
                let message = format!("{key} `{}` is given twice", quote(text));
                let named = format!("{inner}.{key}");
                let offset = self.positions.get(named.as_str()).copied();
                self.report(offset.unwrap_or(node.range().start), &named, message);
            }
            list.push(value);
        }
        Value::Array(list)
    }
}

/// Checks type, range and format of one value, but not what it contains.
fn fits(schema: &Value, node: &Node<'_>) -> bool {
    match (schema["type"].as_str(), node) {
        (Some("object"), Node::Object(_)) => true,
        (Some("array"), Node::Array(array)) => {
            let least = schema["minItems"].as_u64().unwrap_or(0);
            let most = schema["maxItems"].as_u64().unwrap_or(u64::MAX);
            (least..=most).contains(&(array.elements.len() as u64))
        }
        (Some("boolean"), Node::BooleanLit(_)) => true,
        (Some("integer"), Node::NumberLit(number)) => {
            number.value.parse::<i64>().is_ok_and(|value| {
                let least = schema["minimum"].as_i64().unwrap_or(i64::MIN);
                let most = schema["maximum"].as_i64().unwrap_or(i64::MAX);
                (least..=most).contains(&value)
            })
        }
        (Some("string"), Node::StringLit(text)) => text_fits(schema, &text.value),
        _ => false,
    }
}

fn text_fits(schema: &Value, text: &str) -> bool {
    if let Some(allowed) = schema["enum"].as_array() {
        return allowed.iter().any(|value| value.as_str() == Some(text));
    }
    let Some(format) = format_of(schema) else {
        return true;
    };
    if !format.allows(text) {
        return false;
    }
    let Some(value) = format.magnitude(text) else {
        return true;
    };
    let least = bound(schema, format, "x-minimum").unwrap_or(0);
    let most = bound(schema, format, "x-maximum").unwrap_or(u64::MAX);
    (least..=most).contains(&value)
}

fn bound(schema: &Value, format: TextFormat, keyword: &str) -> Option<u64> {
    format.magnitude(schema[keyword].as_str()?)
}

fn format_of(schema: &Value) -> Option<TextFormat> {
    let name = schema["format"].as_str()?;
    Some(TextFormat::by_name(name).expect("schemas name known formats"))
}

/// Describes what a schema allows.
fn describe(schema: &Value) -> String {
    if let Some(allowed) = schema["enum"].as_array() {
        let names: Vec<String> = allowed.iter().map(Value::to_string).collect();
        return format!("one of {}", names.join(", "));
    }
    match schema["type"].as_str() {
        Some("object") => "an object".to_owned(),
        Some("boolean") => "true or false".to_owned(),
        Some("integer") => {
            format!("an integer from {} to {}", schema["minimum"], schema["maximum"])
        }
        Some("array") => {
            let least = schema["minItems"].as_u64().unwrap_or(0);
            match schema["maxItems"].as_u64() {
                Some(most) => format!("a list of {least} to {most} items"),
                None => "a list".to_owned(),
            }
        }
        _ => describe_text(schema),
    }
}

fn describe_text(schema: &Value) -> String {
    let Some(format) = format_of(schema) else {
        return "a text".to_owned();
    };
    let text = format.description();
    match (schema["x-minimum"].as_str(), schema["x-maximum"].as_str()) {
        (Some(least), Some(most)) => format!("{text}, from {least} to {most}"),
        _ => text.to_owned(),
    }
}

fn found(node: &Node<'_>) -> String {
    match node {
        Node::StringLit(text) => format!("\"{}\"", quote(&text.value)),
        Node::NumberLit(number) => quote(number.value),
        Node::BooleanLit(boolean) => boolean.value.to_string(),
        Node::Object(_) => "an object".to_owned(),
        Node::Array(array) => format!("a list of {} items", array.elements.len()),
        Node::NullKeyword(_) => "null".to_owned(),
    }
}

/// Shortens a text from the document and escapes its control characters.
fn quote(text: &str) -> String {
    let mut quoted: String = text.chars().take(QUOTE_LENGTH).flat_map(char::escape_debug).collect();
    if text.chars().nth(QUOTE_LENGTH).is_some() {
        quoted.push('…');
    }
    quoted
}

fn read_number(text: &str) -> Value {
    match text.parse::<i64>() {
        Ok(number) => Value::from(number),
        Err(_) => text.parse().ok().and_then(Number::from_f64).map_or(Value::Null, Value::Number),
    }
}

fn unknown_key(schema: &Value, name: &str) -> String {
    let Some(properties) = schema["properties"].as_object() else {
        return "unknown key".to_owned();
    };
    let mut close: Option<(usize, &str)> = None;
    for known in properties.keys() {
        let distance = edit_distance(name, known);
        if distance <= SUGGESTION_DISTANCE && close.is_none_or(|(least, _)| distance < least) {
            close = Some((distance, known));
        }
    }
    if let Some((_, known)) = close {
        return format!("unknown key, did you mean `{known}`?");
    }
    let known: Vec<&str> = properties.keys().map(String::as_str).collect();
    format!("unknown key, allowed are {}", known.join(", "))
}

fn edit_distance(left: &str, right: &str) -> usize {
    if left.len().abs_diff(right.len()) > SUGGESTION_DISTANCE {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, left_byte) in left.bytes().enumerate() {
        let mut corner = row[0];
        row[0] = line + 1;
        for (column, right_byte) in right.bytes().enumerate() {
            let replaced = corner + usize::from(left_byte != right_byte);
            corner = row[column + 1];
            row[column + 1] = replaced.min(corner + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
