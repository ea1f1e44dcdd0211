//! Logging: each event is one line of `key=value` pairs on standard error.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::LogfmtLayout;
use logforth::record::LevelFilter as RecordFilter;

/// Installs the process-wide logger. Only the first call has an effect.
pub fn init(level: LevelFilter) {
    let filter = match level {
        LevelFilter::Off => RecordFilter::Off,
        LevelFilter::Error => RecordFilter::MoreSevereEqual(logforth::record::Level::Error),
        LevelFilter::Warn => RecordFilter::MoreSevereEqual(logforth::record::Level::Warn),
        LevelFilter::Info => RecordFilter::MoreSevereEqual(logforth::record::Level::Info),
        LevelFilter::Debug => RecordFilter::MoreSevereEqual(logforth::record::Level::Debug),
        LevelFilter::Trace => RecordFilter::All,
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| {
            dispatch.filter(filter).append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level);
    }
}
