//! Replicated settings: versions, tokens, resent changes, isolation of teams, and installation on
//! entries.

use curranthollow::settings::{
    BRANCH_LIMIT, ChangeAction, ChangeOutcome, ERROR_LIST_BYTE_LIMIT, HISTORY_BYTE_LIMIT,
    HISTORY_VERSION_LIMIT, InstallError, InstalledSettings, OUTCOME_LIMIT, RefusalReason,
    RestoreError, SettingsChange, SettingsStore, token_matches, token_sha256,
};
use yare::parameterized;

const CLUSTER: u64 = 7;

fn document(team: &str, path: &str) -> Box<str> {
    format!(
        r#"{{"team": "{team}", "services": {{"a": {{"match": {{"path_prefix": "{path}"}}}}}}}}"#
    )
    .into()
}

fn settings_change(
    branch: &str,
    base: u64,
    id: &str,
    token: &str,
    action: ChangeAction,
) -> SettingsChange {
    SettingsChange {
        branch: branch.into(),
        base_version: base,
        change_id: id.into(),
        token_sha256: token_sha256(token),
        action,
    }
}

fn create(team: &str, base: u64, id: &str) -> SettingsChange {
    let document = document(team, &format!("/{team}"));
    let action = ChangeAction::Create { document, team_token_sha256: token_sha256(team) };
    settings_change(team, base, id, "root-token", action)
}

fn replace(team: &str, base: u64, id: &str, path: &str) -> SettingsChange {
    settings_change(team, base, id, team, ChangeAction::Replace { document: document(team, path) })
}

fn replace_root(base: u64, id: &str, text: &str) -> SettingsChange {
    settings_change("root", base, id, "root-token", ChangeAction::Replace { document: text.into() })
}

fn delete(team: &str, base: u64, id: &str) -> SettingsChange {
    settings_change(team, base, id, "root-token", ChangeAction::Delete)
}

fn rotate(team: &str, id: &str, token: &str) -> SettingsChange {
    let action = ChangeAction::RotateToken { team_token_sha256: token_sha256(token) };
    settings_change(team, 0, id, "root-token", action)
}

/// Returns a store with the teams `blue` and `red`, at revision 2.
fn store_with_teams() -> SettingsStore {
    let mut store = SettingsStore::new(CLUSTER, &token_sha256("root-token"));
    assert_eq!(store.apply(&create("blue", 0, "c1")), accepted(1, 1));
    assert_eq!(store.apply(&create("red", 0, "c2")), accepted(1, 2));
    store
}

fn accepted(version: u64, revision: u64) -> ChangeOutcome {
    ChangeOutcome::Accepted { version, revision }
}

fn refused(reason: RefusalReason) -> ChangeOutcome {
    ChangeOutcome::Refused(reason)
}

fn is_invalid(outcome: &ChangeOutcome, message: &str) -> bool {
    match outcome {
        ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors }) => {
            errors.iter().any(|error| error.to_string().contains(message))
        }
        _ => false,
    }
}

// Guards against two accepted changes that are based on the same version.
#[test]
fn second_change_on_same_version_conflicts() {
    let mut store = store_with_teams();
    assert_eq!(store.apply(&replace("blue", 1, "x", "/b1")), accepted(2, 3));
    assert_eq!(
        store.apply(&replace("blue", 1, "y", "/b2")),
        ChangeOutcome::Conflict { current: 2 }
    );
    assert_eq!(
        store.apply(&replace("blue", 9, "z", "/b2")),
        ChangeOutcome::Conflict { current: 2 }
    );
    assert_eq!(store.document("blue"), Some((2, &*document("blue", "/b1"))));
    assert_eq!(store.revision(), 3);
}

// Guards against a resent change that is applied twice or gets a different outcome, including after
// further changes and a snapshot.
#[test]
fn resent_change_gets_original_outcome() {
    let mut store = store_with_teams();
    let changes = [
        replace("blue", 1, "good", "/b1"),
        replace("blue", 1, "late", "/b2"),
        replace("blue", 2, "bad", "b3"),
        create("blue", 0, "again"),
        create("red", 0, "c2"),
        replace_root(0, "root", r#"{"defaults": {}}"#),
    ];
    let outcomes: Vec<ChangeOutcome> = changes.iter().map(|change| store.apply(change)).collect();
    assert_eq!(store.apply(&replace("blue", 2, "more", "/b4")), accepted(3, 5));
    let mut restored = SettingsStore::restore(&store.snapshot()).unwrap();
    for store in [&mut store, &mut restored] {
        for (change, outcome) in changes.iter().zip(&outcomes) {
            assert_eq!(&store.apply(change), outcome);
        }
        assert_eq!(store.revision(), 5);
    }
    assert_eq!(store.snapshot(), restored.snapshot());
}

// Guards against a reused change id that returns the outcome of a change with different content.
#[test]
fn reused_change_id_is_refused() {
    let mut store = store_with_teams();
    store.apply(&replace("blue", 1, "x", "/b1"));
    let reused = refused(RefusalReason::ChangeIdReused);
    assert_eq!(store.apply(&replace("blue", 1, "x", "/b2")), reused);
    assert_eq!(store.apply(&replace("blue", 2, "x", "/b1")), reused);
    assert_eq!(store.apply(&replace("red", 1, "x", "/r1")), accepted(2, 4));
}

// Guards against a change that is accepted without the right token, for an unsuitable branch, or
// with a malformed text.
#[parameterized(
    other_team = { settings_change("blue", 1, "t", "red", ChangeAction::Replace { document: document("blue", "/b1") }), RefusalReason::WrongToken },
    root_on_team = { settings_change("blue", 1, "t", "root-token", ChangeAction::Replace { document: document("blue", "/b1") }), RefusalReason::WrongToken },
    team_on_root = { settings_change("root", 0, "t", "blue", ChangeAction::Replace { document: "{\"defaults\": {}}".into() }), RefusalReason::WrongToken },
    team_deletes = { settings_change("blue", 1, "t", "blue", ChangeAction::Delete), RefusalReason::WrongToken },
    team_rotates = { settings_change("blue", 1, "t", "blue", ChangeAction::RotateToken { team_token_sha256: token_sha256("n") }), RefusalReason::WrongToken },
    team_creates = { settings_change("green", 0, "t", "blue", ChangeAction::Create { document: document("green", "/g"), team_token_sha256: token_sha256("n") }), RefusalReason::WrongToken },
    unknown = { replace("green", 1, "t", "/g"), RefusalReason::UnknownBranch },
    delete_unknown = { delete("green", 0, "t"), RefusalReason::UnknownBranch },
    exists = { create("blue", 1, "t"), RefusalReason::BranchExists },
    delete_root = { delete("root", 0, "t"), RefusalReason::InvalidRequest { message: "branch: the root branch can only be replaced".into() } },
    rotate_root = { rotate("root", "t", "n"), RefusalReason::InvalidRequest { message: "branch: the root branch can only be replaced".into() } },
    change_id = { replace("blue", 1, "a b", "/b1"), RefusalReason::InvalidRequest { message: "change_id: expected 1 to 128 visible ASCII characters".into() } },
    team_token = { settings_change("green", 0, "t", "root-token", ChangeAction::Create { document: document("green", "/g"), team_token_sha256: "secret".into() }), RefusalReason::InvalidRequest { message: "team_token_sha256: expected 64 lower-case hex digits".into() } },
)]
fn refuses_change(change: SettingsChange, reason: RefusalReason) {
    let mut store = store_with_teams();
    assert_eq!(store.apply(&change), refused(reason));
    assert_eq!(store.revision(), 2);
    assert_eq!(store.document("blue"), Some((1, &*document("blue", "/blue"))));
}

// Guards against a caller without a token who displaces a team's outcomes or fills the state.
#[test]
fn unauthorized_changes_leave_state_unchanged() {
    let mut store = store_with_teams();
    let before = store.snapshot();
    for number in 0..100 {
        let mut wrong = replace("blue", 1, &format!("w{number}"), "/b1");
        wrong.token_sha256 = "".into();
        store.apply(&wrong);
        store.apply(&replace(&format!("team{number}"), 0, "x", "/y"));
    }
    assert_eq!(store.snapshot(), before);
}

// Guards against an empty or truncated hash that is accepted as a token.
#[test]
fn compares_whole_token_hashes() {
    let hash = token_sha256("a");
    assert_eq!(&*hash, "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb");
    assert!(token_matches(&hash, &hash));
    assert!(
        !token_matches(&hash, &hash[..63]) && !token_matches("", "") && !token_matches(&hash, "")
    );
}

// Guards against an old token that stays valid after a rotation, and against a rotation that fails
// because the holder of the old token has changed the branch.
#[test]
fn rotated_token_replaces_old_token() {
    let mut store = store_with_teams();
    store.apply(&replace("blue", 1, "x", "/b1"));
    assert_eq!(store.apply(&rotate("blue", "r", "new")), accepted(3, 4));
    assert_eq!(store.apply(&replace("blue", 3, "y", "/b2")), refused(RefusalReason::WrongToken));
    assert!(
        store.authorizes("blue", &token_sha256("new"))
            && !store.authorizes("blue", &token_sha256("blue"))
    );
    assert_eq!(store.document("blue"), Some((3, &*document("blue", "/b1"))));
}

// Guards against a withdrawn token that is valid again after a restart from a snapshot.
#[test]
fn withdrawn_token_stays_withdrawn_after_a_restart() {
    let mut store = store_with_teams();
    assert_eq!(store.apply(&rotate("blue", "r", "new")), accepted(2, 3));
    let mut restored = SettingsStore::restore(&store.snapshot()).unwrap();
    assert!(!restored.authorizes("blue", &token_sha256("blue")));
    let change = restored.apply(&replace("blue", 2, "x", "/b1"));
    assert_eq!(change, refused(RefusalReason::WrongToken));
    assert!(restored.authorizes("blue", &token_sha256("new")));
}

// Guards against a team that takes another team's route or affects its versions.
#[test]
fn teams_are_isolated() {
    let mut store = store_with_teams();
    let outcome = store.apply(&replace("red", 1, "clash", "/blue"));
    assert!(is_invalid(&outcome, "teams.red.services.a.match.path_prefix: another team matches"));
    assert_eq!(store.apply(&replace("blue", 1, "x", "/b1")), accepted(2, 3));
    assert_eq!(store.apply(&replace("red", 1, "y", "/blue")), accepted(2, 4));
    assert!(is_invalid(&store.apply(&replace("blue", 2, "back", "/blue")), "another team"));
    let mut restored = SettingsStore::restore(&store.snapshot()).unwrap();
    assert!(is_invalid(&restored.apply(&replace("blue", 2, "again", "/blue")), "another team"));
    assert!(store.tree().is_ok());
}

// Guards against a deleted team that keeps its route or is created again with a reused version.
#[test]
fn deleted_branch_frees_routes_and_keeps_versions() {
    let mut store = store_with_teams();
    assert_eq!(store.apply(&delete("blue", 0, "d0")), ChangeOutcome::Conflict { current: 1 });
    assert_eq!(store.apply(&delete("blue", 1, "d")), accepted(2, 3));
    assert_eq!(store.document("blue"), None);
    assert_eq!(store.apply(&replace("blue", 2, "x", "/b")), refused(RefusalReason::UnknownBranch));
    assert_eq!(store.apply(&replace("red", 1, "y", "/blue")), accepted(2, 4));
    assert_eq!(store.apply(&create("blue", 0, "n0")), ChangeOutcome::Conflict { current: 2 });
    assert!(is_invalid(&store.apply(&create("blue", 2, "n1")), "another team"));
    assert_eq!(store.apply(&replace("red", 2, "z", "/red")), accepted(3, 5));
    assert_eq!(store.apply(&create("blue", 2, "n2")), accepted(3, 6));
    assert_eq!(store.versions().collect::<Vec<_>>(), [("blue", 3), ("red", 3), ("root", 0)]);
}

// Guards against root defaults that make an accepted team document invalid.
#[test]
fn root_change_keeps_every_team_readable() {
    let mut store = store_with_teams();
    let text = r#"{"team": "blue", "services": {"a": {"match": {"path_prefix": "/b"}, "servers": {"slots": 200}, "retry": {"backoff_min": "90ms"}}}}"#;
    let action = ChangeAction::Replace { document: text.into() };
    assert_eq!(store.apply(&settings_change("blue", 1, "x", "blue", action)), accepted(2, 3));
    let root =
        r#"{"defaults": {"servers": {"connections": 100}, "retry": {"backoff_max": "50ms"}}}"#;
    assert_eq!(store.apply(&replace_root(0, "r", root)), accepted(1, 4));
    let tree = store.tree().unwrap();
    let settings = tree.service("blue", "a").unwrap();
    assert_eq!((settings.servers.slots, settings.servers.connections), (100, 100));
    assert!(settings.retry.backoff_max >= settings.retry.backoff_min);
    assert!(SettingsStore::restore(&store.snapshot()).is_ok());
}

// Guards against replicas that diverge on the same log, with and without restoring snapshots.
#[test]
fn apply_is_deterministic() {
    let mut random = fastrand::Rng::with_seed(41);
    let mut first_replica = store_with_teams();
    let mut second_replica = store_with_teams();
    for number in 0..600 {
        let team = ["blue", "red", "green"][random.usize(..3)];
        let base = random.u64(..8);
        let path = ["/a", "/b", "/c", "bad"][random.usize(..4)];
        let id = format!("n{}", random.u64(..300));
        let next = match random.usize(..12) {
            0 => create(team, base, &id),
            1 => delete(team, base, &id),
            2 => replace_root(base, &id, r#"{"defaults": {"policy": "random"}}"#),
            _ => {
                let base = branch_version(&first_replica, team).saturating_sub(random.u64(..2));
                replace(team, base, &id, path)
            }
        };
        assert_eq!(first_replica.apply(&next), second_replica.apply(&next));
        if number % 50 == 0 {
            second_replica = SettingsStore::restore(&second_replica.snapshot()).unwrap();
        }
        assert!(first_replica.tree().is_ok());
    }
    assert!(
        first_replica.revision() > 30,
        "only {} changes were accepted with this seed",
        first_replica.revision()
    );
    assert_eq!(first_replica.snapshot(), second_replica.snapshot());
}

fn branch_version(store: &SettingsStore, branch: &str) -> u64 {
    store.document(branch).map_or(0, |(version, _)| version)
}

// Guards against unbounded growth of the history, outcomes and error lists.
#[test]
fn bounds_stored_state() {
    let mut store = store_with_teams();
    let unknown_keys: String = (0..200).map(|key| format!("\"key{key}\": 1,")).collect();
    let invalid_action = ChangeAction::Replace { document: format!("{{{unknown_keys}}}").into() };
    let first_change = settings_change("blue", 1, "bad0", "blue", invalid_action.clone());
    assert!(is_invalid(&store.apply(&first_change), "unknown key"));
    for number in 1..200 {
        store.apply(&settings_change(
            "blue",
            1,
            &format!("bad{number}"),
            "blue",
            invalid_action.clone(),
        ));
    }
    assert!(store.snapshot().len() < 3 * ERROR_LIST_BYTE_LIMIT);
    let without_errors = RefusalReason::InvalidDocument { errors: Vec::new() };
    assert_eq!(store.apply(&first_change), refused(without_errors));
    for number in 0..HISTORY_VERSION_LIMIT as u64 + 20 {
        store.apply(&replace("blue", 1 + number, &format!("h{number}"), "/b1"));
    }
    let versions: Vec<u64> = store.history("blue").iter().map(|entry| entry.version).collect();
    assert_eq!(
        (versions.len(), versions[0], versions[HISTORY_VERSION_LIMIT - 1]),
        (HISTORY_VERSION_LIMIT, 22, 121)
    );
    for number in 0..OUTCOME_LIMIT {
        store.apply(&replace("blue", 0, &format!("o{number}"), "/b1"));
    }
    assert_eq!(store.stored_outcome_count("blue"), OUTCOME_LIMIT);
    assert_eq!(
        store.apply(&replace("blue", 0, "o0", "/b1")),
        ChangeOutcome::Conflict { current: 121 }
    );
    assert_eq!(store.stored_outcome_count("blue"), OUTCOME_LIMIT);
    assert_eq!(store.stored_outcome_count("red"), 0);
    assert_eq!(SettingsStore::restore(&store.snapshot()).unwrap().snapshot(), store.snapshot());
}

// Guards against a stored version whose document differs from the accepted one. The documents grow,
// shrink, share part of a multi-byte character, and are deleted and created again.
#[test]
fn history_restores_every_document() {
    let mut store = store_with_teams();
    let mut expected: Vec<Option<String>> = vec![Some(document("blue", "/blue").into())];
    let comments = ["", "ü", "ö", "öö", "ü/blue", "aaaa", "aa", "aaaaaa"];
    for (number, comment) in comments.iter().enumerate() {
        let text = format!("/* {comment} */ {} // {comment}", document("blue", "/blue"));
        let action = ChangeAction::Replace { document: text.as_str().into() };
        let next =
            settings_change("blue", expected.len() as u64, &format!("x{number}"), "blue", action);
        assert!(matches!(store.apply(&next), ChangeOutcome::Accepted { .. }));
        expected.push(Some(text));
        if number == 4 {
            store.apply(&delete("blue", expected.len() as u64, "d"));
            expected.push(None);
            store.apply(&create("blue", expected.len() as u64, "c"));
            expected.push(Some(document("blue", "/blue").into()));
        }
    }
    store.apply(&rotate("blue", "r", "new"));
    expected.push(expected[expected.len() - 1].clone());
    let restored = SettingsStore::restore(&store.snapshot()).unwrap();
    for store in [&store, &restored] {
        let history = store.history("blue");
        let documents: Vec<Option<String>> =
            history.iter().map(|entry| entry.document.as_deref().map(str::to_owned)).collect();
        assert_eq!(documents, expected);
        assert!(history.is_sorted_by_key(|entry| entry.revision));
    }
}

// Guards against a team that exhausts the memory of control processes by rewriting a large
// document.
#[test]
fn bounds_history_of_large_documents() {
    let mut store = store_with_teams();
    for number in 0..12_u64 {
        let filler = char::from(b'a' + number as u8).to_string().repeat(200_000);
        let text = format!("/*{filler}*/ {}", document("blue", "/blue"));
        let action = ChangeAction::Replace { document: text.into() };
        let next = settings_change("blue", 1 + number, &format!("x{number}"), "blue", action);
        assert!(matches!(store.apply(&next), ChangeOutcome::Accepted { .. }));
    }
    let versions: Vec<u64> = store.history("blue").iter().map(|entry| entry.version).collect();
    assert_eq!(versions, [8, 9, 10, 11, 12, 13]);
    assert!(store.snapshot().len() < HISTORY_BYTE_LIMIT + 300_000);
}

// Guards against more branches than the limit.
#[test]
fn bounds_branches() {
    let mut store = SettingsStore::new(CLUSTER, &token_sha256("root-token"));
    for number in 1..BRANCH_LIMIT {
        store.apply(&create(&format!("t{number}"), 0, "c"));
    }
    let limit_reached = refused(RefusalReason::TooManyBranches);
    assert_eq!(store.apply(&create("one-more", 0, "c")), limit_reached);
}

// Guards against a damaged snapshot that is restored.
#[test]
fn refuses_damaged_snapshot() {
    let bytes = store_with_teams().snapshot();
    assert!(matches!(
        SettingsStore::restore(&bytes[..bytes.len() - 1]),
        Err(RestoreError::Malformed(_))
    ));
    assert!(matches!(SettingsStore::restore(&[]), Err(RestoreError::Malformed(_))));
    let mut with_extra_byte = bytes.clone();
    with_extra_byte.push(0);
    assert!(matches!(SettingsStore::restore(&with_extra_byte), Err(RestoreError::Malformed(_))));
    let mut other_format = bytes;
    other_format[0] = 2;
    assert!(matches!(
        SettingsStore::restore(&other_format),
        Err(RestoreError::UnsupportedFormat(2))
    ));
}

// Guards against an entry that installs an older revision, skips a change, or accepts settings of
// another cluster.
#[test]
fn entry_installs_deltas_in_order() {
    let mut store = store_with_teams();
    let full_delta = store.delta_since(0);
    let mut installed = InstalledSettings::new();
    let delta_after_gap = store.delta_since(1);
    assert!(matches!(
        installed.install(&delta_after_gap),
        Err(InstallError::MissingChanges { .. })
    ));
    installed.install(&full_delta).unwrap();
    store.apply(&replace("blue", 1, "x", "/b1"));
    store.apply(&delete("red", 1, "d"));
    let delta = store.delta_since(installed.revision());
    let names: Vec<&str> = delta.branches.iter().map(|copy| &*copy.name).collect();
    assert_eq!(names, ["blue", "red"]);
    let tree = installed.install(&delta).unwrap();
    assert!(tree.find_service("x", "/red").is_none() && tree.find_service("x", "/b1").is_some());
    assert!(matches!(installed.install(&full_delta), Err(InstallError::OlderRevision { .. })));
    let mut foreign = store.delta_since(0);
    foreign.cluster = CLUSTER + 1;
    assert!(matches!(installed.install(&foreign), Err(InstallError::ClusterMismatch { .. })));
    assert_eq!(installed.revision(), 4);
    assert!(installed.install(&delta).is_ok(), "a repeated delta is refused");
}

// Guards against an entry whose settings differ because it joined late or received them from a
// peer.
#[test]
fn relayed_settings_equal_direct_settings() {
    let mut store = store_with_teams();
    let mut direct = InstalledSettings::new();
    let mut relayed = InstalledSettings::new();
    for number in 0..20 {
        store.apply(&replace("blue", 1 + number, &format!("x{number}"), &format!("/b{number}")));
        if number == 9 {
            store.apply(&delete("red", 1, "d"));
            store.apply(&replace_root(0, "r", r#"{"defaults": {"servers": {"slots": 9}}}"#));
        }
        direct.install(&store.delta_since(direct.revision())).unwrap();
        if number % 3 == 0 {
            relayed.install(&direct.delta_since(relayed.revision()).unwrap()).unwrap();
        }
    }
    relayed.install(&direct.delta_since(relayed.revision()).unwrap()).unwrap();
    let mut late = InstalledSettings::new();
    late.install(&direct.delta_since(0).unwrap()).unwrap();
    let expected = store.tree().unwrap();
    for installed in [&direct, &relayed, &late] {
        let tree = installed.tree().unwrap();
        assert_eq!((&tree.teams, &tree.root), (&expected.teams, &expected.root));
        assert_eq!(tree.service("blue", "a").unwrap().servers.slots, 9);
    }
}

// Guards against sending the hash of the root token to entries; only control processes need it.
#[test]
fn root_token_is_not_sent_to_entries() {
    let delta = store_with_teams().delta_since(0);
    let root = delta.branches.iter().find(|copy| &*copy.name == "root").unwrap();
    assert!(root.token_sha256.is_empty());
}
