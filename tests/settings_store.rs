//! Guards the replicated settings: versions, tokens, resends, isolation of teams and installation.

use curranthollow::settings::{
    BRANCH_LIMIT, ChangeAction, ChangeOutcome, DETAIL_LIMIT, HISTORY_LIMIT, HISTORY_SIZE,
    InstallError, InstalledSettings, OUTCOME_LIMIT, RefusalReason, RestoreError, SettingsChange,
    SettingsStore, token_matches, token_sha256,
};
use yare::parameterized;

const CLUSTER: u64 = 7;

fn document(team: &str, path: &str) -> Box<str> {
    format!(
        r#"{{"team": "{team}", "services": {{"a": {{"match": {{"path_prefix": "{path}"}}}}}}}}"#
    )
    .into()
}

fn change(branch: &str, base: u64, id: &str, token: &str, action: ChangeAction) -> SettingsChange {
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
    change(team, base, id, "root-token", action)
}

fn replace(team: &str, base: u64, id: &str, path: &str) -> SettingsChange {
    change(team, base, id, team, ChangeAction::Replace { document: document(team, path) })
}

fn replace_root(base: u64, id: &str, text: &str) -> SettingsChange {
    change("root", base, id, "root-token", ChangeAction::Replace { document: text.into() })
}

fn delete(team: &str, base: u64, id: &str) -> SettingsChange {
    change(team, base, id, "root-token", ChangeAction::Delete)
}

fn rotate(team: &str, id: &str, token: &str) -> SettingsChange {
    let action = ChangeAction::RotateToken { team_token_sha256: token_sha256(token) };
    change(team, 0, id, "root-token", action)
}

/// A store with the teams `blue` and `red`, at revision 2.
fn store() -> SettingsStore {
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

// Guards against two operators who both believe that their change on one version was accepted.
#[test]
fn second_change_on_a_version_conflicts() {
    let mut store = store();
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

// Guards against a resent change that is applied twice or gets another answer, also after a
// snapshot and further changes.
#[test]
fn resent_change_gets_original_outcome() {
    let mut store = store();
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

// Guards against a change id that answers for a change with another content.
#[test]
fn reused_change_id_is_refused() {
    let mut store = store();
    store.apply(&replace("blue", 1, "x", "/b1"));
    let reused = refused(RefusalReason::ChangeIdReused);
    assert_eq!(store.apply(&replace("blue", 1, "x", "/b2")), reused);
    assert_eq!(store.apply(&replace("blue", 2, "x", "/b1")), reused);
    assert_eq!(store.apply(&replace("red", 1, "x", "/r1")), accepted(2, 4));
}

// Guards against a change without the right to it.
#[parameterized(
    other_team = { change("blue", 1, "t", "red", ChangeAction::Replace { document: document("blue", "/b1") }), RefusalReason::WrongToken },
    root_on_team = { change("blue", 1, "t", "root-token", ChangeAction::Replace { document: document("blue", "/b1") }), RefusalReason::WrongToken },
    team_on_root = { change("root", 0, "t", "blue", ChangeAction::Replace { document: "{\"defaults\": {}}".into() }), RefusalReason::WrongToken },
    team_deletes = { change("blue", 1, "t", "blue", ChangeAction::Delete), RefusalReason::WrongToken },
    team_rotates = { change("blue", 1, "t", "blue", ChangeAction::RotateToken { team_token_sha256: token_sha256("n") }), RefusalReason::WrongToken },
    team_creates = { change("green", 0, "t", "blue", ChangeAction::Create { document: document("green", "/g"), team_token_sha256: token_sha256("n") }), RefusalReason::WrongToken },
    unknown = { replace("green", 1, "t", "/g"), RefusalReason::UnknownBranch },
    delete_unknown = { delete("green", 0, "t"), RefusalReason::UnknownBranch },
    exists = { create("blue", 1, "t"), RefusalReason::BranchExists },
    delete_root = { delete("root", 0, "t"), RefusalReason::InvalidRequest { message: "branch: the root branch can only be replaced".into() } },
    rotate_root = { rotate("root", "t", "n"), RefusalReason::InvalidRequest { message: "branch: the root branch can only be replaced".into() } },
    change_id = { replace("blue", 1, "a b", "/b1"), RefusalReason::InvalidRequest { message: "change_id: expected 1 to 128 visible ASCII characters".into() } },
    team_token = { change("green", 0, "t", "root-token", ChangeAction::Create { document: document("green", "/g"), team_token_sha256: "secret".into() }), RefusalReason::InvalidRequest { message: "team_token_sha256: expected 64 lower-case hex digits".into() } },
)]
fn refuses_change(change: SettingsChange, reason: RefusalReason) {
    let mut store = store();
    assert_eq!(store.apply(&change), refused(reason));
    assert_eq!(store.revision(), 2);
    assert_eq!(store.document("blue"), Some((1, &*document("blue", "/blue"))));
}

// Guards against a caller without token who pushes out a team's outcomes or fills the state.
#[test]
fn unauthorized_changes_leave_no_trace() {
    let mut store = store();
    let before = store.snapshot();
    for number in 0..100 {
        let mut wrong = replace("blue", 1, &format!("w{number}"), "/b1");
        wrong.token_sha256 = "".into();
        store.apply(&wrong);
        store.apply(&replace(&format!("team{number}"), 0, "x", "/y"));
    }
    assert_eq!(store.snapshot(), before);
}

// Guards against an empty or shortened hash that passes as a token.
#[test]
fn compares_whole_token_hashes() {
    let hash = token_sha256("a");
    assert_eq!(&*hash, "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb");
    assert!(token_matches(&hash, &hash));
    assert!(
        !token_matches(&hash, &hash[..63]) && !token_matches("", "") && !token_matches(&hash, "")
    );
}

// Guards against an old token that stays valid, also while its holder keeps changing the branch.
#[test]
fn rotated_token_replaces_old_one() {
    let mut store = store();
    store.apply(&replace("blue", 1, "x", "/b1"));
    assert_eq!(store.apply(&rotate("blue", "r", "new")), accepted(3, 4));
    assert_eq!(store.apply(&replace("blue", 3, "y", "/b2")), refused(RefusalReason::WrongToken));
    assert!(
        store.authorizes("blue", &token_sha256("new"))
            && !store.authorizes("blue", &token_sha256("blue"))
    );
    assert_eq!(store.document("blue"), Some((3, &*document("blue", "/b1"))));
}

// Guards against a team that disturbs another one through a route or a version.
#[test]
fn teams_are_isolated() {
    let mut store = store();
    let clash = store.apply(&replace("red", 1, "clash", "/blue"));
    assert!(is_invalid(&clash, "teams.red.services.a.match.path_prefix: another team matches"));
    assert_eq!(store.apply(&replace("blue", 1, "x", "/b1")), accepted(2, 3));
    assert_eq!(store.apply(&replace("red", 1, "y", "/blue")), accepted(2, 4));
    assert!(is_invalid(&store.apply(&replace("blue", 2, "back", "/blue")), "another team"));
    let mut restored = SettingsStore::restore(&store.snapshot()).unwrap();
    assert!(is_invalid(&restored.apply(&replace("blue", 2, "again", "/blue")), "another team"));
    assert!(store.tree().is_ok());
}

// Guards against a deleted team that keeps its route or returns with a version used before.
#[test]
fn deleted_branch_frees_routes_and_keeps_versions() {
    let mut store = store();
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

// Guards against root defaults that make a team's accepted document unreadable.
#[test]
fn root_change_keeps_every_team_readable() {
    let mut store = store();
    let text = r#"{"team": "blue", "services": {"a": {"match": {"path_prefix": "/b"}, "servers": {"slots": 200}, "retry": {"backoff_min": "90ms"}}}}"#;
    let action = ChangeAction::Replace { document: text.into() };
    assert_eq!(store.apply(&change("blue", 1, "x", "blue", action)), accepted(2, 3));
    let root =
        r#"{"defaults": {"servers": {"connections": 100}, "retry": {"backoff_max": "50ms"}}}"#;
    assert_eq!(store.apply(&replace_root(0, "r", root)), accepted(1, 4));
    let tree = store.tree().unwrap();
    let settings = tree.service("blue", "a").unwrap();
    assert_eq!((settings.servers.slots, settings.servers.connections), (100, 100));
    assert!(settings.retry.backoff_max >= settings.retry.backoff_min);
    assert!(SettingsStore::restore(&store.snapshot()).is_ok());
}

// Guards against replicas that diverge on one log, with and without a snapshot in between.
#[test]
fn apply_is_deterministic() {
    let mut random = fastrand::Rng::with_seed(41);
    let mut left = store();
    let mut right = store();
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
                let base = store_version(&left, team).saturating_sub(random.u64(..2));
                replace(team, base, &id, path)
            }
        };
        assert_eq!(left.apply(&next), right.apply(&next));
        if number % 50 == 0 {
            right = SettingsStore::restore(&right.snapshot()).unwrap();
        }
        assert!(left.tree().is_ok());
    }
    assert!(left.revision() > 30, "the seed leads to {} accepted changes", left.revision());
    assert_eq!(left.snapshot(), right.snapshot());
}

fn store_version(store: &SettingsStore, branch: &str) -> u64 {
    store.document(branch).map_or(0, |(version, _)| version)
}

// Guards against history, outcomes and error lists that grow without bound.
#[test]
fn bounds_kept_state() {
    let mut store = store();
    let many: String = (0..200).map(|key| format!("\"key{key}\": 1,")).collect();
    let bad = ChangeAction::Replace { document: format!("{{{many}}}").into() };
    let first = change("blue", 1, "bad0", "blue", bad.clone());
    assert!(is_invalid(&store.apply(&first), "unknown key"));
    for number in 1..200 {
        store.apply(&change("blue", 1, &format!("bad{number}"), "blue", bad.clone()));
    }
    assert!(store.snapshot().len() < 3 * DETAIL_LIMIT);
    let forgotten = RefusalReason::InvalidDocument { errors: Vec::new() };
    assert_eq!(store.apply(&first), refused(forgotten));
    for number in 0..HISTORY_LIMIT as u64 + 20 {
        store.apply(&replace("blue", 1 + number, &format!("h{number}"), "/b1"));
    }
    let versions: Vec<u64> = store.history("blue").iter().map(|entry| entry.version).collect();
    assert_eq!(
        (versions.len(), versions[0], versions[HISTORY_LIMIT - 1]),
        (HISTORY_LIMIT, 22, 121)
    );
    for number in 0..OUTCOME_LIMIT {
        store.apply(&replace("blue", 0, &format!("o{number}"), "/b1"));
    }
    assert_eq!(store.kept_outcomes("blue"), OUTCOME_LIMIT);
    assert_eq!(
        store.apply(&replace("blue", 0, "o0", "/b1")),
        ChangeOutcome::Conflict { current: 121 }
    );
    assert_eq!(store.kept_outcomes("blue"), OUTCOME_LIMIT);
    assert_eq!(store.kept_outcomes("red"), 0);
    assert_eq!(SettingsStore::restore(&store.snapshot()).unwrap().snapshot(), store.snapshot());
}

// Guards against a kept version whose document differs from the accepted one: documents that grow,
// shrink, share part of a character, are deleted and created again.
#[test]
fn history_restores_every_document() {
    let mut store = store();
    let mut expected: Vec<Option<String>> = vec![Some(document("blue", "/blue").into())];
    let comments = ["", "ü", "ö", "öö", "ü/blue", "aaaa", "aa", "aaaaaa"];
    for (number, comment) in comments.iter().enumerate() {
        let text = format!("/* {comment} */ {} // {comment}", document("blue", "/blue"));
        let action = ChangeAction::Replace { document: text.as_str().into() };
        let next = change("blue", expected.len() as u64, &format!("x{number}"), "blue", action);
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

// Guards against a team that fills the memory of control by rewriting a large document.
#[test]
fn bounds_history_of_large_documents() {
    let mut store = store();
    for number in 0..12_u64 {
        let filler = char::from(b'a' + number as u8).to_string().repeat(200_000);
        let text = format!("/*{filler}*/ {}", document("blue", "/blue"));
        let action = ChangeAction::Replace { document: text.into() };
        let next = change("blue", 1 + number, &format!("x{number}"), "blue", action);
        assert!(matches!(store.apply(&next), ChangeOutcome::Accepted { .. }));
    }
    let versions: Vec<u64> = store.history("blue").iter().map(|entry| entry.version).collect();
    assert_eq!(versions, [8, 9, 10, 11, 12, 13]);
    assert!(store.snapshot().len() < HISTORY_SIZE + 300_000);
}

// Guards against more branches than the state is sized for.
#[test]
fn bounds_branches() {
    let mut store = SettingsStore::new(CLUSTER, &token_sha256("root-token"));
    for number in 1..BRANCH_LIMIT {
        store.apply(&create(&format!("t{number}"), 0, "c"));
    }
    let full = refused(RefusalReason::TooManyBranches);
    assert_eq!(store.apply(&create("one-more", 0, "c")), full);
}

// Guards against a damaged snapshot that loads.
#[test]
fn refuses_damaged_snapshot() {
    let bytes = store().snapshot();
    assert!(matches!(
        SettingsStore::restore(&bytes[..bytes.len() - 1]),
        Err(RestoreError::Malformed(_))
    ));
    assert!(matches!(SettingsStore::restore(&[]), Err(RestoreError::Malformed(_))));
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(matches!(SettingsStore::restore(&longer), Err(RestoreError::Malformed(_))));
    let mut other = bytes;
    other[0] = 2;
    assert!(matches!(SettingsStore::restore(&other), Err(RestoreError::UnknownFormat(2))));
}

// Guards against an entry that goes back, misses a change, or follows another cluster.
#[test]
fn entry_installs_in_order() {
    let mut store = store();
    let early = store.delta_since(0);
    let mut installed = InstalledSettings::new();
    let gap = store.delta_since(1);
    assert!(matches!(installed.install(&gap), Err(InstallError::MissingChanges { .. })));
    installed.install(&early).unwrap();
    store.apply(&replace("blue", 1, "x", "/b1"));
    store.apply(&delete("red", 1, "d"));
    let delta = store.delta_since(installed.revision());
    let names: Vec<&str> = delta.branches.iter().map(|copy| &*copy.name).collect();
    assert_eq!(names, ["blue", "red"]);
    let tree = installed.install(&delta).unwrap();
    assert!(tree.find("x", "/red").is_none() && tree.find("x", "/b1").is_some());
    assert!(matches!(installed.install(&early), Err(InstallError::OlderRevision { .. })));
    let mut foreign = store.delta_since(0);
    foreign.cluster = CLUSTER + 1;
    assert!(matches!(installed.install(&foreign), Err(InstallError::OtherCluster { .. })));
    assert_eq!(installed.revision(), 4);
    assert!(installed.install(&delta).is_ok(), "a repeated delta changes nothing");
}

// Guards against an entry that joins late, or by a relay, with other settings than the others.
#[test]
fn relayed_settings_equal_direct_ones() {
    let mut store = store();
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

// Guards against the root token's hash on entries, which only control needs.
#[test]
fn root_token_stays_on_control() {
    let delta = store().delta_since(0);
    let root = delta.branches.iter().find(|copy| &*copy.name == "root").unwrap();
    assert!(root.token_sha256.is_empty());
}
