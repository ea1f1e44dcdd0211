//! Tenants and keys without a network: credentials, tables, documents and replicas.

use std::rc::Rc;

use curranthollow::fleet::announcement::{AnnouncementError, IncarnationStart, ServerAnnouncement};
use curranthollow::fleet::crash::request_digest;
use curranthollow::fleet::dialect::{CallPaths, HeaderNames, WireDialect};
use curranthollow::fleet::document::{DocumentError, RouteDocument};
use curranthollow::fleet::native::NativeDialect;
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::fleet::tenant::{
    CallerIdentity, IdentityError, KeyDigest, MAX_KEY_BYTES, TenantTable, parse_credentials,
};
use curranthollow::fleet::update::{CompactUpdate, FleetReplica, FleetUpdate};
use curranthollow::http::{HeaderList, HttpLimits, RequestHead};
use proptest::prelude::*;
use serde_json::{Value, json};
use yare::parameterized;

fn headers(values: &[&[u8]]) -> HeaderList {
    let mut headers = HeaderList::new();
    for value in values {
        headers.append("Authorization", value).expect("the value is valid");
    }
    headers
}

fn key_outcome(values: &[&[u8]]) -> &'static str {
    match parse_credentials(&headers(values), "authorization", "Bearer") {
        Ok(digest) if digest == KeyDigest::of(b"k1") => "k1",
        Ok(digest) if digest == KeyDigest::of(b"a b") => "a b",
        Ok(_) => "another key",
        Err(error) => error.label(),
    }
}

/// Guards against a key that is accepted in a form of which two readers disagree, and against a panic.
#[parameterized(
    usual = { &[b"Bearer k1"], "k1" },
    lower_case = { &[b"bearer k1"], "k1" },
    with_space_inside = { &[b"Bearer a b"], "a b" },
    none = { &[], "missing" },
    empty = { &[b""], "malformed" },
    scheme_alone = { &[b"Bearer"], "malformed" },
    no_key = { &[b"Bearer "], "malformed" },
    two_spaces = { &[b"Bearer  k1"], "malformed" },
    tab = { &[b"Bearer\tk1"], "malformed" },
    other_scheme = { &[b"Basic k1"], "malformed" },
    key_alone = { &[b"k1"], "malformed" },
    longer_scheme = { &[b"Bearers k1"], "malformed" },
    twice = { &[b"Bearer k1", b"Bearer k1"], "malformed" },
    not_utf8 = { &[b"Bearer \xff\xfe"], "malformed" },
    longest = { &[&[b"Bearer ", &[b'x'; MAX_KEY_BYTES][..]].concat()], "another key" },
    too_long = { &[&[b"Bearer ", &[b'x'; MAX_KEY_BYTES + 1][..]].concat()], "malformed" },
)]
fn credentials_are_parsed(values: &[&[u8]], expected: &str) {
    assert_eq!(key_outcome(values), expected);
}

/// Returns a document with these tenants, one public route and two that are not.
pub fn text(version: u64, tenants: Value) -> String {
    let route = |prefix: &str, public: bool| {
        json!({ "name": prefix, "host": "shop", "prefix": prefix, "idempotent": prefix != "/book/",
                "public": public, "timeout_ms": 5000, "target_latency_ms": 5000, "max_attempts": 2,
                "targets": [["rounds", 1.0]] })
    };
    let service = json!({ "health_path": "/health", "max_connections": 9 });
    json!({ "version": version, "services": { "rounds": service }, "tenants": tenants,
            "routes": [route("/read/", false), route("/book/", false), route("/open/", true)] })
    .to_string()
}

pub fn tenants(holders: &[(&str, &[&str])]) -> Value {
    holders.iter().map(|(name, keys)| json!({ "name": name, "keys": keys })).collect()
}

fn parse(text: &str) -> Result<RouteDocument, String> {
    let document = NativeDialect.parse_document(text.as_bytes());
    let checked = document.and_then(|document| document.check().map(|()| document));
    checked.map_err(|error| error.to_string())
}

fn table(holders: &[(&str, &[&str])]) -> Rc<TenantTable> {
    let document = parse(&text(1, tenants(holders))).expect("the document is valid");
    Rc::new(TenantTable::new(&document.tenants))
}

fn check(table: &Rc<TenantTable>, key: &str, is_public: bool) -> Result<CallerIdentity, String> {
    let headers = headers(&[format!("Bearer {key}").as_bytes()]);
    let identity = CallerIdentity::check(table, &NativeDialect, &headers, is_public);
    identity.map_err(|error| error.label().to_owned())
}

/// Tenants with their keys.
pub type Holders = &'static [(&'static str, &'static [&'static str])];

/// Guards against a send in the name of a former tenant, or with a key that was withdrawn or passed on.
#[parameterized(
    unchanged = { &[("a", &["k1"])], false, &[("a", &["k1"]), ("b", &["k2"])], "a" },
    moved = { &[("a", &["k1"])], false, &[("a", &[]), ("b", &["k1"])], "b" },
    withdrawn = { &[("a", &["k1", "k2"])], false, &[("a", &["k2"])], "Withdrawn" },
    last_key = { &[("a", &["k1"])], false, &[("a", &[])], "Withdrawn" },
    tenant_gone = { &[("a", &["k1"])], false, &[("b", &["k2"])], "Withdrawn" },
    all_tenants_gone = { &[("a", &["k1"])], false, &[], "-" },
    withdrawn_on_public_route = { &[("a", &["k1"])], true, &[("a", &[])], "-" },
    unknown_on_public_route = { &[("a", &["k2"])], true, &[("b", &["k1"])], "-" },
    no_tenants = { &[], false, &[], "-" },
    first_tenants = { &[], false, &[("a", &["k1"])], "Outdated" },
)]
fn the_tenant_is_that_of_the_send(read: Holders, is_public: bool, sent: Holders, expected: &str) {
    let identity = check(&table(read), "k1", is_public).expect("the key is in force");
    let outcome = match identity.tenant_now(&table(sent)) {
        Ok(tenant) => tenant.map_or("-".to_owned(), |tenant| tenant.name.to_string()),
        Err(error @ (IdentityError::Withdrawn | IdentityError::Outdated)) => format!("{error:?}"),
    };
    assert_eq!(outcome, expected);
}

/// Guards against a digest from which a key can be guessed, or that differs between the keys of a tenant, and
/// against a change of the digests of documents without tenants.
#[test]
fn digests_depend_on_the_tenant_and_not_on_the_key() {
    let digest = |holders: Holders, key: &str| {
        let text =
            format!("GET /read/1 HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer {key}\r\n\r\n");
        let parsed = RequestHead::parse(text.as_bytes(), &HttpLimits::default());
        let (mut head, _) = parsed.expect("the head is valid").expect("the head is complete");
        let plain = request_digest("authorization", &head, b"");
        let identity = check(&table(holders), key, false).expect("the key is in force");
        identity.replace_credentials(&NativeDialect, &mut head.headers);
        (plain, request_digest("authorization", &head, b""))
    };
    let holders: Holders = &[("a", &["k1", "k2"]), ("b", &["k3"])];
    let digests = ["k1", "k2", "k3"].map(|key| digest(holders, key));
    assert_eq!(digests[0].1, digests[1].1);
    assert_ne!(digests[0].1, digests[2].1);
    assert!(digests.iter().all(|(plain, replaced)| plain != replaced));
    let (plain, kept) = digest(&[], "k1");
    assert_eq!(plain, kept);
}

/// [`NativeDialect`] with keys in a header of their own.
struct KeyHeaderDialect(HeaderNames);

impl WireDialect for KeyHeaderDialect {
    fn headers(&self) -> &HeaderNames {
        &self.0
    }

    fn paths(&self) -> &CallPaths {
        NativeDialect.paths()
    }

    fn key_scheme(&self) -> &'static str {
        NativeDialect.key_scheme()
    }

    fn parse_document(&self, body: &[u8]) -> Result<RouteDocument, DocumentError> {
        NativeDialect.parse_document(body)
    }

    fn parse_announcement(&self, body: &[u8]) -> Result<ServerAnnouncement, AnnouncementError> {
        NativeDialect.parse_announcement(body)
    }

    fn parse_leave(&self, body: &[u8]) -> Option<IncarnationStart> {
        NativeDialect.parse_leave(body)
    }

    fn error_body(&self, message: &str) -> Vec<u8> {
        NativeDialect.error_body(message)
    }
}

/// Guards against a dialect with keys in another header, under which the digest shows the key, is the same for
/// two tenants, or loses a header that is none of the credentials.
#[test]
fn digests_follow_the_header_of_the_dialect() {
    let names = HeaderNames { authorization: "x-key", ..*NativeDialect.headers() };
    let dialect = KeyHeaderDialect(names);
    let table = table(&[("a", &["k1", "k2"]), ("b", &["k3"])]);
    let digest = |key: &str, other: &str| {
        let text = format!(
            "GET / HTTP/1.1\r\nhost: shop\r\nauthorization: {other}\r\nx-key: Bearer {key}\r\n\r\n"
        );
        let parsed = RequestHead::parse(text.as_bytes(), &HttpLimits::default());
        let (mut head, _) = parsed.expect("the head is valid").expect("the head is complete");
        let identity = CallerIdentity::check(&table, &dialect, &head.headers, false);
        let identity = identity.expect("the key is in force");
        identity.replace_credentials(&dialect, &mut head.headers);
        request_digest("x-key", &head, b"")
    };
    assert_eq!(digest("k1", "x"), digest("k2", "x"));
    assert_ne!(digest("k1", "x"), digest("k3", "x"));
    assert_ne!(digest("k1", "x"), digest("k1", "y"));
}

/// Guards against a document whose keys lead to two tenants, or that no caller could use, and against errors
/// and debug output that show a key.
#[test]
fn invalid_tenants_are_refused_without_their_keys() {
    let long = "SECRET".repeat(MAX_KEY_BYTES);
    let cases = [
        tenants(&[("a", &["SECRET"]), ("b", &["k", "SECRET"])]),
        tenants(&[("a", &["SECRET"]), ("a", &["k"])]),
        tenants(&[("a", &["SECRET", ""])]),
        tenants(&[("a", &["SECRET "])]),
        tenants(&[("a", &["SECRET\n"])]),
        tenants(&[("a", &[&long])]),
        tenants(&[("", &["SECRET"])]),
        tenants(&[("a b", &["SECRET"])]),
        tenants(&[("a\r\nx-tenant: b", &["SECRET"])]),
        tenants(&[(&"\u{fc}".repeat(900), &["SECRET"])]),
        json!([{ "name": "a", "keys": "SECRET" }]),
        json!([{ "name": "a", "keys": ["k"], "priority": "SECRET" }]),
        json!([{ "name": "a", "keys": ["k"], "rate_per_second": -1.0 }]),
        json!([{ "name": "a", "keys": ["k"], "SECRET": 1 }]),
        json!([{ "keys": ["SECRET"] }]),
        json!("SECRET"),
    ];
    let errors = cases.map(|case| parse(&text(1, case)).expect_err("the document is invalid"));
    let is_bounded = |error: &String| error.chars().count() < 200;
    assert!(errors.iter().all(|error| !error.contains("SECRET") && is_bounded(error)));
    let messages: Vec<_> =
        errors.iter().filter_map(|error| error.split(" at line").next()).collect();
    insta::assert_snapshot!(messages.join("\n"), @"
    tenants a and b share a key
    tenant a: another tenant has the same name
    tenant a: a key is empty, longer than 512 bytes, or no header can carry it
    tenant a: a key is empty, longer than 512 bytes, or no header can carry it
    tenant a: a key is empty, longer than 512 bytes, or no header can carry it
    tenant a: a key is empty, longer than 512 bytes, or no header can carry it
    tenant : the name is empty, too long or not printable ASCII without spaces
    tenant a b: the name is empty, too long or not printable ASCII without spaces
    tenant a\\r\\nx-tenant: b: the name is empty, too long or not printable ASCII without spaces
    tenant üüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüüü: the name is empty, too long or not printable ASCII without spaces
    the document cannot be read: tenants: a value is malformed or of the wrong type
    the document cannot be read: tenants: a value is malformed or of the wrong type
    tenant a: rate or burst is no number from 0 on
    the document cannot be read: tenants: a value is malformed or of the wrong type
    the document cannot be read: tenants: missing field `name`
    the document cannot be read: tenants: a value is malformed or of the wrong type
    ");
}

/// Guards against a debug line of the replicated state that shows a key.
#[test]
fn debug_output_shows_no_key() {
    let document = text(1, tenants(&[("a", &["SECRET"])]));
    let mut state = FleetState::default();
    let command = put(&document);
    let shown = format!("{command:?}");
    state.apply(1, command);
    let mut replica = FleetReplica::default();
    replica.apply(state.update_since(0));
    let head = headers(&[b"Bearer SECRET"]);
    let shown = format!("{shown} {state:?} {replica:?} {head:?}");
    let bytes = format!("{:?}", b"SECRET");
    assert!(!shown.contains("SECRET") && !shown.contains(bytes.trim_matches(['[', ']'])));
}

fn put(text: &str) -> FleetCommand {
    let document = parse(text).expect("the document is valid");
    FleetCommand::PutDocument { document: Box::new(document), text: text.into() }
}

/// Sends the update through its encoding.
fn encoded(update: FleetUpdate) -> FleetUpdate {
    let mut bytes = Vec::new();
    ciborium::into_writer(&CompactUpdate(update), &mut bytes).expect("the update can be encoded");
    let CompactUpdate(update) = ciborium::from_reader(&bytes[..]).expect("it can be decoded");
    update
}

fn holder(replica: &FleetReplica, key: &str) -> Option<String> {
    let table = TenantTable::new(&replica.document()?.tenants);
    table.find(&KeyDigest::of(key.as_bytes())).map(|tenant| tenant.name.to_string())
}

/// Guards against an entry that accepts a key again after its withdrawal: updates of several members arrive
/// late, twice and as complete ones.
#[parameterized(
    key_withdrawn = { &[("a", &["k1", "k2"])], None },
    last_key = { &[("a", &[])], None },
    tenant_removed = { &[("b", &["k2"])], None },
    all_tenants_removed = { &[], None },
    key_moved = { &[("a", &[]), ("b", &["k1", "k9"])], Some("b") },
)]
fn a_withdrawn_key_stays_withdrawn(after: Holders, expected: Option<&str>) {
    let mut state = FleetState::default();
    let mut late = Vec::new();
    let before: Holders = &[("a", &["k1", "k9"])];
    for (index, holders) in (1..).zip([&[], before, after]) {
        late.extend([0, index - 1].map(|since| encoded(state.update_since(since))));
        state.apply(index, put(&text(index, tenants(holders))));
    }
    for since in [0, 1, 2] {
        let mut replica = FleetReplica::default();
        if since > 0 {
            let mut earlier = FleetState::default();
            for (index, holders) in (1..=since).zip([&[], before]) {
                earlier.apply(index, put(&text(index, tenants(holders))));
            }
            replica.apply(encoded(earlier.update_since(0)));
        }
        assert!(replica.apply(encoded(state.update_since(since))), "the revision advances");
        for update in [&late[..], &late[..]].concat() {
            assert!(!replica.apply(update), "a late update is ignored");
        }
        assert_eq!(holder(&replica, "k9").as_deref(), expected, "since {since}");
        assert_eq!(replica.document(), Some(state.document()), "since {since}");
    }
}

/// Guards against updates that tell an entry of the rest of the document when one tenant changes.
#[test]
fn only_changed_tenants_are_told() {
    let mut state = FleetState::default();
    state.apply(1, put(&text(1, tenants(&[("a", &["k1"]), ("b", &["k2"]), ("c", &["k3"])]))));
    state.apply(2, put(&text(2, tenants(&[("a", &["k1"]), ("b", &["k2", "k4"])]))));
    let update = state.update_since(1);
    let names: Vec<_> = update.tenants.iter().map(|(name, _)| &**name).collect();
    assert_eq!(
        (names, update.removed_tenants, update.routes.len()),
        (vec!["b"], vec!["c".into()], 0)
    );
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,9}".prop_map(Value::from),
        Just(json!("SECRET")),
    ];
    let field =
        prop_oneof!["name", "keys", "priority", "rate_per_second", "burst", "SECRET", ".{0,5}"];
    leaf.prop_recursive(3, 24, 4, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(field.clone(), inner, 0..5).prop_map(Value::from_iter),
        ]
    })
}

proptest! {
    /// Guards against a document that ends a member, and against an error that shows a key.
    #[test]
    fn any_tenants_are_decoded_or_refused(value in any_json(), cut in 0..400_usize) {
        let text = text(1, value);
        if let Err(error) = parse(&text) {
            prop_assert!(!error.contains("SECRET"), "{}", error);
        }
        let end = text.floor_char_boundary(cut.min(text.len()));
        if let Err(error) = parse(&text[..end]) {
            prop_assert!(!error.contains("SECRET"), "{}", error);
        }
    }

    /// Guards against credentials that end an entry, or that two texts share.
    #[test]
    fn any_credentials_are_parsed_or_refused(value in prop::collection::vec(1..=255_u8, 0..40)) {
        let value: Vec<u8> = value.into_iter().filter(|byte| !b"\r\n".contains(byte)).collect();
        prop_assert!(key_outcome(&[&value]) == "malformed");
        let text = [b"BEARER ", &value[..]].concat();
        let parsed = parse_credentials(&headers(&[&text]), "authorization", "Bearer");
        prop_assert!(parsed.is_err() || parsed == Ok(KeyDigest::of(&value)));
    }
}
