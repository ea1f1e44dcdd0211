//! Validates a parsed document by walking it together with its schema.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::{Array, Object, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use serde_json::{Map, Number, Value};

use super::document::{DocumentOutline, LineIndex, SchemaError, ValidatedDocument, join_path};
use super::format::TextFormat;
use super::{MAX_DOCUMENT_BYTES, MAX_NESTING_DEPTH, MAX_REPORTED_ERRORS};

/// Maximum number of characters of a document's text that are quoted in an error message.
const MAX_QUOTED_CHARS: usize = 48;

/// Maximum edit distance between an unknown key and the key that is suggested instead.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Accepts JSON with comments and trailing commas, but no other extensions.
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

/// Validates `text` against the schema `root` of `file` and returns the document or all errors, up
/// to [`MAX_REPORTED_ERRORS`], in the order of their positions.
pub(super) fn validate(
    file: &Value,
    root: &Value,
    text: &str,
    prefix: &str,
) -> Result<ValidatedDocument, Vec<SchemaError>> {
    parse_document(text, prefix, |line_index, node| {
        let mut validator =
            SchemaValidator { file, line_index, errors: Vec::new(), positions: BTreeMap::new() };
        let value = validator.check_value(root, node, prefix);
        if !validator.errors.is_empty() {
            validator.errors.sort_by_key(|error| (error.line, error.column));
            return Err(validator.errors);
        }
        let SchemaValidator { line_index, positions, .. } = validator;
        Ok(ValidatedDocument { value, positions, line_index, prefix: prefix.into() })
    })
}

/// Returns the keys of the top-level object and its team name, without validating the document.
pub(super) fn outline(text: &str) -> Result<DocumentOutline, Vec<SchemaError>> {
    parse_document(text, "", |_, node| {
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

/// Checks the limits on size and depth, parses the text and calls `read` with its top-level value.
fn parse_document<T>(
    text: &str,
    prefix: &str,
    read: impl FnOnce(LineIndex, &Node<'_>) -> Result<T, Vec<SchemaError>>,
) -> Result<T, Vec<SchemaError>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message =
            format!("document has {} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", text.len());
        return Err(vec![document_error(prefix, message)]);
    }
    let line_index = LineIndex::new(text);
    if let Some(offset) = find_excess_nesting(text) {
        let message = format!("more than {MAX_NESTING_DEPTH} levels of objects and lists");
        return Err(vec![line_index.error_at(offset, prefix.into(), message.into())]);
    }
    let collect = CollectOptions { comments: CommentCollectionStrategy::Off, tokens: false };
    let parsed = match parse_to_ast(text, &collect, &PARSE_OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            let message = format!("syntax error: {}", error.kind());
            return Err(vec![line_index.error_at(
                error.range().start,
                prefix.into(),
                message.into(),
            )]);
        }
    };
    let Some(node) = parsed.value else {
        return Err(vec![line_index.error_at(0, prefix.into(), "document is empty".into())]);
    };
    read(line_index, &node)
}

/// Creates an error at the start of the document.
fn document_error(prefix: &str, message: String) -> SchemaError {
    SchemaError { line: 1, column: 1, path: prefix.into(), message: message.into() }
}

/// Returns the offset of the first bracket that exceeds the depth limit.
///
/// Runs before the parser, whose recursion the limit bounds.
fn find_excess_nesting(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0;
    let mut offset = 0;
    while offset < bytes.len() {
        match bytes[offset] {
            b'"' => offset = string_end(bytes, offset),
            b'/' if bytes.get(offset + 1) == Some(&b'/') => {
                offset += bytes[offset..]
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .unwrap_or(bytes.len() - offset);
            }
            b'/' if bytes.get(offset + 1) == Some(&b'*') => {
                let end = bytes[offset + 2..].windows(2).position(|pair| pair == b"*/");
                offset = end.map_or(bytes.len(), |length| offset + 3 + length);
            }
            b'{' | b'[' => {
                depth += 1;
                if depth > MAX_NESTING_DEPTH {
                    return Some(offset);
                }
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        offset += 1;
    }
    None
}

/// Returns the offset of the quote that ends the string starting at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut offset = start + 1;
    while offset < bytes.len() && bytes[offset] != b'"' {
        offset += if bytes[offset] == b'\\' { 2 } else { 1 };
    }
    offset
}

/// State of the validation of one document.
struct SchemaValidator<'s> {
    file: &'s Value,
    line_index: LineIndex,
    errors: Vec<SchemaError>,
    positions: BTreeMap<Box<str>, usize>,
}

impl<'s> SchemaValidator<'s> {
    fn add_error(&mut self, offset: usize, path: &str, message: String) {
        if !self.is_full() {
            self.errors.push(self.line_index.error_at(offset, path.into(), message.into()));
        }
    }

    /// Reports whether the maximum number of errors is reached, so that validation can stop.
    fn is_full(&self) -> bool {
        self.errors.len() >= MAX_REPORTED_ERRORS
    }

    /// Follows the `$ref` of a schema, if it has one.
    fn resolve(&self, schema: &'s Value) -> &'s Value {
        let Some(target) = schema.get("$ref").and_then(Value::as_str) else {
            return schema;
        };
        let pointer = target.strip_prefix('#').expect("references point into the same schema file");
        self.file.pointer(pointer).expect("referenced definitions exist")
    }

    /// Validates one value and returns it as JSON.
    fn check_value(&mut self, schema: &'s Value, node: &Node<'_>, path: &str) -> Value {
        let schema = self.resolve(schema);
        let offset = node.range().start;
        self.positions.insert(path.into(), offset);
        if !is_allowed(schema, node) {
            let message =
                format!("expected {}, found {}", describe_schema(schema), describe_value(node));
            self.add_error(offset, path, message);
            return Value::Null;
        }
        match node {
            Node::Object(object) => self.check_object(schema, object, path),
            Node::Array(array) => self.check_array(schema, array, path),
            Node::StringLit(text) => Value::from(text.value.as_ref()),
            Node::NumberLit(number) => parse_number(number.value),
            Node::BooleanLit(boolean) => Value::from(boolean.value),
            Node::NullKeyword(_) => Value::Null,
        }
    }

    fn check_object(&mut self, schema: &'s Value, object: &Object<'_>, path: &str) -> Value {
        let mut object_values = Map::new();
        for property in &object.properties {
            if self.is_full() {
                break;
            }
            let name = property.name.as_str();
            let offset = property.name.range().start;
            let child_path = join_path(path, &quote(name));
            if object_values.contains_key(name) {
                self.add_error(offset, &child_path, "the key is given twice".to_owned());
                continue;
            }
            let Some(value_schema) = self.property_schema(schema, name, offset, &child_path) else {
                object_values.insert(name.to_owned(), Value::Null);
                continue;
            };
            let value = self.check_value(value_schema, &property.value, &child_path);
            object_values.insert(name.to_owned(), value);
        }
        let start = object.range.start;
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !object_values.contains_key(name) {
                let expected = describe_schema(self.resolve(&schema["properties"][name]));
                let message = format!("missing key `{name}`, expected {expected}");
                self.add_error(start, path, message);
            }
        }
        let max = schema["maxProperties"].as_u64().unwrap_or(u64::MAX);
        if object_values.len() as u64 > max {
            self.add_error(
                start,
                path,
                format!("expected at most {max} keys, found {}", object_values.len()),
            );
        }
        Value::Object(object_values)
    }

    /// Returns the schema of the property `name`, or reports an error if the property is not
    /// allowed.
    fn property_schema(
        &mut self,
        schema: &'s Value,
        name: &str,
        offset: usize,
        path: &str,
    ) -> Option<&'s Value> {
        if let Some(property_schema) = schema["properties"].get(name) {
            return Some(property_schema);
        }
        let other_schema = &schema["additionalProperties"];
        if !other_schema.is_object() {
            let message = unknown_key_message(schema, name);
            self.add_error(offset, path, message);
            return None;
        }
        if let Some(format) = format_of(&schema["propertyNames"])
            && !format.allows(name)
        {
            let message = format!("expected {} as key", format.description());
            self.add_error(offset, path, message);
            return None;
        }
        Some(other_schema)
    }

    fn check_array(&mut self, schema: &'s Value, array: &Array<'_>, path: &str) -> Value {
        let mut items = Vec::new();
        let mut seen = BTreeSet::new();
        let unique_key = schema["x-unique"].as_str();
        for (item_index, node) in array.elements.iter().enumerate() {
            if self.is_full() {
                break;
            }
            let child_path = format!("{path}[{item_index}]");
            let value = self.check_value(&schema["items"], node, &child_path);
            if let Some(text) = unique_key.and_then(|key| value.get(key)).and_then(Value::as_str)
                && !seen.insert(text.to_owned())
            {
                let key = unique_key.unwrap_or_default();
                let message = format!("{key} `{}` is given twice", quote(text));
                let property_path = format!("{child_path}.{key}");
                let offset = self.positions.get(property_path.as_str()).copied();
                self.add_error(offset.unwrap_or(node.range().start), &property_path, message);
            }
            items.push(value);
        }
        Value::Array(items)
    }
}

/// Reports whether a value has the type, range and format of its schema; does not check its
/// children.
fn is_allowed(schema: &Value, node: &Node<'_>) -> bool {
    match (schema["type"].as_str(), node) {
        (Some("object"), Node::Object(_)) => true,
        (Some("array"), Node::Array(array)) => {
            let min = schema["minItems"].as_u64().unwrap_or(0);
            let max = schema["maxItems"].as_u64().unwrap_or(u64::MAX);
            (min..=max).contains(&(array.elements.len() as u64))
        }
        (Some("boolean"), Node::BooleanLit(_)) => true,
        (Some("integer"), Node::NumberLit(number)) => {
            number.value.parse::<i64>().is_ok_and(|value| {
                let min = schema["minimum"].as_i64().unwrap_or(i64::MIN);
                let max = schema["maximum"].as_i64().unwrap_or(i64::MAX);
                (min..=max).contains(&value)
            })
        }
        (Some("string"), Node::StringLit(text)) => is_text_allowed(schema, &text.value),
        _ => false,
    }
}

fn is_text_allowed(schema: &Value, text: &str) -> bool {
    if let Some(allowed) = schema["enum"].as_array() {
        return allowed.iter().any(|value| value.as_str() == Some(text));
    }
    let Some(format) = format_of(schema) else {
        return true;
    };
    if !format.allows(text) {
        return false;
    }
    let Some(value) = format.numeric_value(text) else {
        return true;
    };
    let min = numeric_bound(schema, format, "x-minimum").unwrap_or(0);
    let max = numeric_bound(schema, format, "x-maximum").unwrap_or(u64::MAX);
    (min..=max).contains(&value)
}

fn numeric_bound(schema: &Value, format: TextFormat, keyword: &str) -> Option<u64> {
    format.numeric_value(schema[keyword].as_str()?)
}

fn format_of(schema: &Value) -> Option<TextFormat> {
    let name = schema["format"].as_str()?;
    Some(TextFormat::from_name(name).expect("schemas use only known formats"))
}

/// Describes the values that a schema allows, for error messages.
fn describe_schema(schema: &Value) -> String {
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
            let min = schema["minItems"].as_u64().unwrap_or(0);
            match schema["maxItems"].as_u64() {
                Some(max) => format!("a list of {min} to {max} items"),
                None => "a list".to_owned(),
            }
        }
        _ => describe_text_schema(schema),
    }
}

fn describe_text_schema(schema: &Value) -> String {
    let Some(format) = format_of(schema) else {
        return "a text".to_owned();
    };
    let text = format.description();
    match (schema["x-minimum"].as_str(), schema["x-maximum"].as_str()) {
        (Some(min), Some(max)) => format!("{text}, from {min} to {max}"),
        _ => text.to_owned(),
    }
}

/// Describes a value of the document, for error messages.
fn describe_value(node: &Node<'_>) -> String {
    match node {
        Node::StringLit(text) => format!("\"{}\"", quote(&text.value)),
        Node::NumberLit(number) => quote(number.value),
        Node::BooleanLit(boolean) => boolean.value.to_string(),
        Node::Object(_) => "an object".to_owned(),
        Node::Array(array) => format!("a list of {} items", array.elements.len()),
        Node::NullKeyword(_) => "null".to_owned(),
    }
}

/// Truncates a text from the document and escapes its control characters.
fn quote(text: &str) -> String {
    let mut quoted: String =
        text.chars().take(MAX_QUOTED_CHARS).flat_map(char::escape_debug).collect();
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        quoted.push('…');
    }
    quoted
}

fn parse_number(text: &str) -> Value {
    match text.parse::<i64>() {
        Ok(number) => Value::from(number),
        Err(_) => text.parse().ok().and_then(Number::from_f64).map_or(Value::Null, Value::Number),
    }
}

/// Returns the error message for an unknown key, with a suggestion or the allowed keys.
fn unknown_key_message(schema: &Value, name: &str) -> String {
    let Some(properties) = schema["properties"].as_object() else {
        return "unknown key".to_owned();
    };
    let mut closest: Option<(usize, &str)> = None;
    for known in properties.keys() {
        let distance = edit_distance(name, known);
        if distance <= MAX_SUGGESTION_DISTANCE && closest.is_none_or(|(min, _)| distance < min) {
            closest = Some((distance, known));
        }
    }
    if let Some((_, known)) = closest {
        return format!("unknown key, did you mean `{known}`?");
    }
    let known: Vec<&str> = properties.keys().map(String::as_str).collect();
    format!("unknown key, allowed are {}", known.join(", "))
}

/// Returns the Levenshtein distance in bytes, or `usize::MAX` if the lengths differ by more than
/// [`MAX_SUGGESTION_DISTANCE`].
fn edit_distance(left: &str, right: &str) -> usize {
    if left.len().abs_diff(right.len()) > MAX_SUGGESTION_DISTANCE {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (left_index, left_byte) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = left_index + 1;
        for (right_index, right_byte) in right.bytes().enumerate() {
            let substitution = diagonal + usize::from(left_byte != right_byte);
            diagonal = row[right_index + 1];
            row[right_index + 1] = substitution.min(diagonal + 1).min(row[right_index] + 1);
        }
    }
    row[right.len()]
}
