//! Measures the settings store: size of its state, and time to change, build, save and load it.
//!
//! Run with `cargo run --release --example settings_cost`.

use std::time::{Duration, Instant};

use curranthollow::settings::{
    ChangeAction, ChangeOutcome, InstalledSettings, OUTCOME_LIMIT, SettingsChange, SettingsStore,
    token_sha256,
};

/// Numbers of services at which the store is measured.
const SIZES: [usize; 5] = [42, 130, 420, 1_300, 4_200];
const SERVICES_PER_TEAM: usize = 20;
const RUNS: usize = 3;

/// Changes that are timed in one run; the run's result is their mean.
const CHANGE_COUNT: usize = 40;

/// Teams over which the size of a stored outcome is averaged.
const OUTCOME_TEAM_COUNT: usize = 20;

/// Values of one metric at every size: the size, and the sorted values of all runs.
struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, [f64; RUNS])>,
}

/// Results of one run, in the order of `METRICS`.
type RunResult = [f64; METRICS.len()];

/// Names and units of the metrics.
const METRICS: [(&str, &str); 10] = [
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
    measure_stored_outcomes();
    let mut series: Vec<Series> = Vec::new();
    for (name, unit) in METRICS {
        series.push(Series { name, unit, points: Vec::new() });
    }
    for size in SIZES {
        let mut results = Vec::new();
        for _ in 0..RUNS {
            results.push(measure_size(size));
        }
        for (metric, series) in series.iter_mut().enumerate() {
            let mut values = [0.0; RUNS];
            for (run, result) in results.iter().enumerate() {
                values[run] = result[metric];
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

/// Prints the size of one stored outcome of a change, in memory and in a snapshot. This must run
/// first, because reused memory that other measurements have freed would hide the growth.
fn measure_stored_outcomes() {
    let mut store = SettingsStore::new(1, &token_sha256("root"));
    for team in 0..OUTCOME_TEAM_COUNT {
        let document = team_document(team, 1, 0);
        let action = ChangeAction::Create { document, team_token_sha256: token_sha256("team") };
        apply(&mut store, change(team, 0, "create", "root", action));
    }
    let snapshot_bytes_before = store.snapshot().len();
    let memory_kib_before = resident_kib();
    for team in 0..OUTCOME_TEAM_COUNT {
        for number in 0..OUTCOME_LIMIT {
            let action = ChangeAction::Replace { document: "".into() };
            let conflict = change(team, 0, &format!("conflict{number}"), "team", action);
            assert_eq!(store.apply(&conflict), ChangeOutcome::Conflict { current: 1 });
        }
    }
    let outcome_count = (OUTCOME_TEAM_COUNT * OUTCOME_LIMIT) as f64;
    let memory_bytes = (resident_kib() - memory_kib_before) * 1024.0 / outcome_count;
    let snapshot_bytes = (store.snapshot().len() - snapshot_bytes_before) as f64 / outcome_count;
    println!(
        "kept outcome: {memory_bytes:.0} B of memory, {snapshot_bytes:.0} B of snapshot, over {outcome_count}\n"
    );
}

/// Returns the resident memory of this process in KiB, or 0 if it cannot be read.
fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    let value = line.split_whitespace().nth(1).and_then(|value| value.parse().ok());
    value.unwrap_or(0.0)
}

/// Prints the peak of resident memory. At the largest size the process holds one store, one tree,
/// the installed settings of one entry, one snapshot and the store that is loaded from it.
fn print_peak_memory() {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines().filter(|line| line.starts_with("VmHWM")) {
        println!("peak resident memory of the process: {line}");
    }
}

fn measure_size(service_count: usize) -> RunResult {
    let teams = service_count.div_ceil(SERVICES_PER_TEAM);
    let mut store = SettingsStore::new(1, &token_sha256("root"));
    for team in 0..teams {
        let team_service_count = SERVICES_PER_TEAM.min(service_count - team * SERVICES_PER_TEAM);
        let document = team_document(team, team_service_count, 0);
        let action = ChangeAction::Create { document, team_token_sha256: token_sha256("team") };
        apply(&mut store, change(team, 0, "create", "root", action));
    }
    let first_document_bytes =
        team_document(0, SERVICES_PER_TEAM.min(service_count), 0).len() as f64;
    let single_version_bytes = store.snapshot().len() as f64;

    let started = Instant::now();
    let tree = store.tree().expect("the documents are valid");
    let build_time = started.elapsed();
    let find_ns = mean_find_time_ns(&tree, service_count);

    let mut installed = InstalledSettings::new();
    installed.install(&store.delta_since(0)).expect("the first delta installs");
    let (apply_time, install_time) = time_changes(&mut store, &mut installed, service_count);
    fill_history(&mut store, service_count);

    let started = Instant::now();
    let snapshot = store.snapshot();
    let save_time = started.elapsed();
    let started = Instant::now();
    SettingsStore::restore(&snapshot).expect("the snapshot loads");
    let load_time = started.elapsed();

    let delta_bytes: usize = store.delta_since(0).branches.iter().map(branch_copy_bytes).sum();
    [
        first_document_bytes,
        single_version_bytes / 1024.0,
        snapshot.len() as f64 / 1024.0,
        delta_bytes as f64 / 1024.0,
        micros(apply_time) / CHANGE_COUNT as f64,
        micros(install_time) / CHANGE_COUNT as f64,
        micros(build_time) / 1e3,
        micros(save_time) / 1e3,
        micros(load_time) / 1e3,
        find_ns,
    ]
}

fn branch_copy_bytes(copy: &curranthollow::settings::BranchCopy) -> usize {
    let document_bytes = copy.document.as_deref().map_or(0, str::len);
    copy.name.len() + copy.token_sha256.len() + document_bytes
}

/// Times changes of one team; returns the total times to apply them to the store of a control
/// process and to install them on an entry.
fn time_changes(
    store: &mut SettingsStore,
    installed: &mut InstalledSettings,
    service_count: usize,
) -> (Duration, Duration) {
    let team_service_count = SERVICES_PER_TEAM.min(service_count);
    let mut apply_time = Duration::ZERO;
    let mut install_time = Duration::ZERO;
    for number in 1..=CHANGE_COUNT {
        let action =
            ChangeAction::Replace { document: team_document(0, team_service_count, number) };
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

/// Returns the mean time of a lookup in nanoseconds, over one lookup of each service.
fn mean_find_time_ns(tree: &curranthollow::settings::SettingsTree, service_count: usize) -> f64 {
    let paths: Vec<String> =
        (0..service_count).map(|number| service_path(number) + "/item/7?view=short").collect();
    let started = Instant::now();
    for path in &paths {
        let found = tree.find_service("example.org:8080", path);
        assert!(std::hint::black_box(found).is_some());
    }
    started.elapsed().as_nanos() as f64 / service_count as f64
}

/// Adds changes to every branch until it holds 100 versions.
fn fill_history(store: &mut SettingsStore, service_count: usize) {
    let teams = service_count.div_ceil(SERVICES_PER_TEAM);
    for team in 0..teams {
        let team_service_count = SERVICES_PER_TEAM.min(service_count - team * SERVICES_PER_TEAM);
        let name = format!("team-{team}");
        let (version, _) = store.document(&name).expect("the branch exists");
        for base_version in version..100 {
            let action = ChangeAction::Replace {
                document: team_document(team, team_service_count, base_version as usize),
            };
            apply(
                store,
                change(team, base_version, &format!("fill{base_version}"), "team", action),
            );
        }
    }
}

fn apply(store: &mut SettingsStore, change: SettingsChange) {
    let outcome = store.apply(&change);
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
}

fn change(
    team: usize,
    base_version: u64,
    id: &str,
    token: &str,
    action: ChangeAction,
) -> SettingsChange {
    SettingsChange {
        branch: format!("team-{team}").into(),
        base_version,
        change_id: id.into(),
        token_sha256: token_sha256(token),
        action,
    }
}

fn service_path(number: usize) -> String {
    format!("/team-{}/service-{number}", number / SERVICES_PER_TEAM)
}

/// Returns a team's document of the size that operators typically write; `edit` varies its content.
fn team_document(team: usize, service_count: usize, edit: usize) -> Box<str> {
    let mut services = String::new();
    for index in 0..service_count {
        let number = team * SERVICES_PER_TEAM + index;
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
            service_path(number)
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
        for (size, [min, median, max]) in &self.points {
            println!("  {size:>8} {min:>12.2} {median:>12.2} {max:>12.2}");
        }
        let (intercept, slope, max_residual) = self.fit();
        println!(
            "  fit: {intercept:.3} + {slope:.6} per service, largest residual {max_residual:.3}\n"
        );
    }

    /// Fits a least-squares line through the medians; returns its intercept, its slope and the
    /// largest residual.
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
        let intercept = mean_value - slope * mean_size;
        let mut max_residual = 0.0_f64;
        for (size, values) in &self.points {
            max_residual = max_residual.max((values[1] - intercept - slope * size).abs());
        }
        (intercept, slope, max_residual)
    }
}
