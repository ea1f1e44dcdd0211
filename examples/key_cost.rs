//! Measures what keys cost an entry, by the number of keys: the check of one request, and the table that is built
//! when a tenant changes.
//!
//! Prints one JSON line for each measurement with the minimum, median and maximum of three runs.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use curranthollow::fleet::native::NativeDialect;
use curranthollow::fleet::tenant::{CallerIdentity, TenantRule, TenantTable};
use curranthollow::http::HeaderList;
use curranthollow::ids::TenantName;

/// Runs of each measurement.
const RUNS: usize = 3;

/// Length of one run.
const RUN_TIME: Duration = Duration::from_millis(300);

/// Numbers of tenants with three keys each.
const TENANT_COUNTS: [usize; 3] = [72, 1000, 20_000];

fn main() -> anyhow::Result<()> {
    for count in TENANT_COUNTS {
        let mut tenants: BTreeMap<TenantName, TenantRule> = BTreeMap::new();
        for number in 0..count {
            let name: TenantName = format!("tenant-{number}").into();
            let mut rule = TenantRule::new(None, 0.0, 0.0);
            rule.add_keys(
                &name,
                &[0, 1, 2].map(|key| format!("{name}-key-{key}-0123456789").into()),
            )?;
            tenants.insert(name, rule);
        }
        let table = Rc::new(TenantTable::new(&tenants));
        let mut headers = HeaderList::new();
        headers.append(
            "authorization",
            format!("Bearer tenant-{}-key-1-0123456789", count / 2).as_bytes(),
        )?;
        CallerIdentity::check(&table, &NativeDialect, &headers, false)
            .context("the key is known")?;
        measure_runs(&format!("check_{count}_tenants_us"), || {
            let check =
                || CallerIdentity::check(&table, &NativeDialect, black_box(&headers), false);
            mean_time_us(check)
        });
        measure_runs(&format!("table_{count}_tenants_us"), || {
            mean_time_us(|| TenantTable::new(black_box(&tenants)))
        });
    }
    Ok(())
}

/// Measures `RUNS` times and prints the values.
fn measure_runs(name: &str, mut measure: impl FnMut() -> f64) {
    let mut values: Vec<_> = (0..RUNS).map(|_| measure()).collect();
    values.sort_by(f64::total_cmp);
    let [min, median, max] = values[..] else { return };
    println!("{{\"name\":\"{name}\",\"min\":{min:.2},\"median\":{median:.2},\"max\":{max:.2}}}");
}

/// Returns the mean time of one call in microseconds.
fn mean_time_us<T>(mut operation: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut call_count = 0_u32;
    while started.elapsed() < RUN_TIME {
        black_box(operation());
        call_count += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(call_count)
}
