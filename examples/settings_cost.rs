//! Measures the cost of the settings state: bytes, and time to change, build, save and load it.
//!
//! Run with `cargo run --release --example settings_cost`.

use std::time::{Duration, Instant};

use curranthollow::settings::{
    ChangeAction, ChangeOutcome, InstalledSettings, OUTCOME_LIMIT, SettingsChange, SettingsStore,
    token_sha256,
};

/// Services at each size; a team has 20 of them.
const SIZES: [usize; 5] = [42, 130, 420, 1_300, 4_200];
const TEAM_SIZE: usize = 20;
const RUNS: usize = 3;

/// Changes timed in one run; their mean counts as the result of the run.
const CHANGES: usize = 40;

/// Teams whose kept outcomes are measured.
const OUTCOME_TEAMS: usize = 20;

/// One measured quantity at every size.
struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, [f64; RUNS])>,
}

/// Results of one run, in the order of `ROWS`.
type RunResult = [f64; ROWS.len()];

const ROWS: [(&str, &str); 10] = [
    ("document of a full team", "B"),
    ("snapshot, one version", "KiB"),
    ("snapshot, 100 versions", "KiB"),
    ("full delta", "KiB"),
    ("apply one change", "us"),
    ("install one change", "us"),
    ("build the tree", "ms"),
    ("take a snapshot", "ms"),
    ("load a snapshot", "ms"),
    ("find a service", "ns"),
];

fn main() {
    measure_outcomes();
    let mut series: Vec<Series> = Vec::new();
    for (name, unit) in ROWS {
        series.push(Series { name, unit, points: Vec::new() });
    }
    for size in SIZES {
        let mut results = Vec::new();
        for _ in 0..RUNS {
            results.push(measure(size));
        }
        for (row, series) in series.iter_mut().enumerate() {
            let mut values = [0.0; RUNS];
            for (run, result) in results.iter().enumerate() {
                values[run] = result[row];
            }
            values.sort_by(f64::total_cmp);
            series.points.push((size as f64, values));
        }
    }
    for series in &series {
        series.print();
    }
    print_peak_memory();
}

/// Prints the bytes of one kept outcome, in memory and in a snapshot. Runs first, because freed
/// memory of other measurements would hide the growth.
fn measure_outcomes() {
    let mut store = SettingsStore::new(1, &token_sha256("root"));
    for team in 0..OUTCOME_TEAMS {
        let document = document(team, 1, 0);
        let action = ChangeAction::Create { document, team_token_sha256: token_sha256("team") };
        apply(&mut store, change(team, 0, "create", "root", action));
    }
    let snapshot_before = store.snapshot().len();
    let memory_before = resident_kib();
    for team in 0..OUTCOME_TEAMS {
        for number in 0..OUTCOME_LIMIT {
            let action = ChangeAction::Replace { document: "".into() };
            let conflict = change(team, 0, &format!("conflict{number}"), "team", action);
            assert_eq!(store.apply(&conflict), ChangeOutcome::Conflict { current: 1 });
        }
    }
    let count = (OUTCOME_TEAMS * OUTCOME_LIMIT) as f64;
    let memory = (resident_kib() - memory_before) * 1024.0 / count;
    let snapshot = (store.snapshot().len() - snapshot_before) as f64 / count;
    println!("kept outcome: {memory:.0} B of memory, {snapshot:.0} B of snapshot, over {count}\n");
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    let value = line.split_whitespace().nth(1).and_then(|value| value.parse().ok());
    value.unwrap_or(0.0)
}

/// Prints the peak of resident memory: one store, one tree, one entry's copy, one snapshot and the
/// store loaded from it, at the largest size.
fn print_peak_memory() {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines().filter(|line| line.starts_with("VmHWM")) {
        println!("peak resident memory of the process: {line}");
    }
}

fn measure(services: usize) -> RunResult {
    let teams = services.div_ceil(TEAM_SIZE);
    let mut store = SettingsStore::new(1, &token_sha256("root"));
    for team in 0..teams {
        let count = TEAM_SIZE.min(services - team * TEAM_SIZE);
        let document = document(team, count, 0);
        let action = ChangeAction::Create { document, team_token_sha256: token_sha256("team") };
        apply(&mut store, change(team, 0, "create", "root", action));
    }
    let first = document(0, TEAM_SIZE.min(services), 0).len() as f64;
    let single = store.snapshot().len() as f64;

    let started = Instant::now();
    let tree = store.tree().expect("the documents are valid");
    let build = started.elapsed();
    let find = time_find(&tree, services);

    let mut installed = InstalledSettings::new();
    installed.install(&store.delta_since(0)).expect("the first delta installs");
    let (apply_time, install_time) = time_changes(&mut store, &mut installed, services);
    fill_history(&mut store, services);

    let started = Instant::now();
    let snapshot = store.snapshot();
    let save = started.elapsed();
    let started = Instant::now();
    SettingsStore::restore(&snapshot).expect("the snapshot loads");
    let load = started.elapsed();

    let delta: usize = store.delta_since(0).branches.iter().map(copy_size).sum();
    [
        first,
        single / 1024.0,
        snapshot.len() as f64 / 1024.0,
        delta as f64 / 1024.0,
        micros(apply_time) / CHANGES as f64,
        micros(install_time) / CHANGES as f64,
        micros(build) / 1e3,
        micros(save) / 1e3,
        micros(load) / 1e3,
        find,
    ]
}

fn copy_size(copy: &curranthollow::settings::BranchCopy) -> usize {
    let document = copy.document.as_deref().map_or(0, str::len);
    copy.name.len() + copy.token_sha256.len() + document
}

/// Times changes of one team, on control and on an entry.
fn time_changes(
    store: &mut SettingsStore,
    installed: &mut InstalledSettings,
    services: usize,
) -> (Duration, Duration) {
    let count = TEAM_SIZE.min(services);
    let mut apply_time = Duration::ZERO;
    let mut install_time = Duration::ZERO;
    for number in 1..=CHANGES {
        let action = ChangeAction::Replace { document: document(0, count, number) };
        let change = change(0, number as u64, &format!("timed{number}"), "team", action);
        let started = Instant::now();
        apply(store, change);
        apply_time += started.elapsed();
        let delta = store.delta_since(installed.revision());
        let started = Instant::now();
        installed.install(&delta).expect("the delta installs");
        install_time += started.elapsed();
    }
    (apply_time, install_time)
}

/// Mean time of a lookup in nanoseconds, over every service.
fn time_find(tree: &curranthollow::settings::SettingsTree, services: usize) -> f64 {
    let paths: Vec<String> =
        (0..services).map(|number| path(number) + "/item/7?view=short").collect();
    let started = Instant::now();
    for path in &paths {
        let found = tree.find_service("example.org:8080", path);
        assert!(std::hint::black_box(found).is_some());
    }
    started.elapsed().as_nanos() as f64 / services as f64
}

/// Brings every branch to 100 kept versions.
fn fill_history(store: &mut SettingsStore, services: usize) {
    let teams = services.div_ceil(TEAM_SIZE);
    for team in 0..teams {
        let count = TEAM_SIZE.min(services - team * TEAM_SIZE);
        let name = format!("team-{team}");
        let (version, _) = store.document(&name).expect("the branch exists");
        for base in version..100 {
            let action = ChangeAction::Replace { document: document(team, count, base as usize) };
            apply(store, change(team, base, &format!("fill{base}"), "team", action));
        }
    }
}

fn apply(store: &mut SettingsStore, change: SettingsChange) {
    let outcome = store.apply(&change);
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
}

fn change(team: usize, base: u64, id: &str, token: &str, action: ChangeAction) -> SettingsChange {
    SettingsChange {
        branch: format!("team-{team}").into(),
        base_version: base,
        change_id: id.into(),
        token_sha256: token_sha256(token),
        action,
    }
}

fn path(number: usize) -> String {
    format!("/team-{}/service-{number}", number / TEAM_SIZE)
}

/// A document of the size that operators of the design's services write.
fn document(team: usize, count: usize, edit: usize) -> Box<str> {
    let mut services = String::new();
    for index in 0..count {
        let number = team * TEAM_SIZE + index;
        services.push_str(&format!(
            r#"
    "service-{number}": {{
      "match": {{ "path_prefix": "{}" }},
      "deadline": "2s",
      "retry": {{ "attempts": 3, "hedge_quantile": "p99", "not_run_statuses": [503] }},
      "classes": [
        {{ "name": "read", "methods": ["GET", "HEAD"], "idempotent": true, "length": "short" }},
        {{ "name": "write", "methods": ["POST"], "idempotent": false, "length": "short" }},
      ],
    }},"#,
            path(number)
        ));
    }
    let slots = 1 + edit % 8;
    format!(
        "{{\n  \"team\": \"team-{team}\",\n  \"defaults\": {{ \"servers\": {{ \"slots\": {slots} }} }},\n  \"services\": {{{services}\n  }},\n}}\n"
    )
    .into()
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

impl Series {
    fn print(&self) {
        println!("{} ({})", self.name, self.unit);
        println!("  services          min       median          max");
        for (size, [least, median, most]) in &self.points {
            println!("  {size:>8} {least:>12.2} {median:>12.2} {most:>12.2}");
        }
        let (base, slope, residual) = self.fit();
        println!("  fit: {base:.3} + {slope:.6} per service, largest residual {residual:.3}\n");
    }

    /// Least-squares line through the medians and its largest residual.
    fn fit(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = self.points.iter().map(|(_, values)| values[1]).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for (size, values) in &self.points {
            covariance += (size - mean_size) * (values[1] - mean_value);
            variance += (size - mean_size).powi(2);
        }
        let slope = covariance / variance;
        let base = mean_value - slope * mean_size;
        let mut residual = 0.0_f64;
        for (size, values) in &self.points {
            residual = residual.max((values[1] - base - slope * size).abs());
        }
        (base, slope, residual)
    }
}
