//! Command-line options.

use std::time::Duration;

use curranthollow::credit::{AccountSettings, WalletSettings};

/// Returns the argument that follows the option `name`.
pub(crate) fn option(name: &str) -> Option<String> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1)
}

fn number_option(name: &str) -> Option<u32> {
    option(name).map(|text| text.parse().expect("the value of the option is a whole number"))
}

pub(crate) fn account_settings() -> AccountSettings {
    let mut settings = AccountSettings::default();
    settings.prefetch_percent = number_option("--ahead").unwrap_or(settings.prefetch_percent);
    settings
}

pub(crate) fn wallet_settings() -> WalletSettings {
    let mut settings = WalletSettings::default();
    if let Some(micros) = number_option("--idle-hold-us") {
        settings.idle_return_after = Duration::from_micros(micros.into());
    }
    if let Some(micros) = number_option("--gap-us") {
        settings.min_message_interval = Duration::from_micros(micros.into());
    }
    if let Some(micros) = number_option("--repeat-us") {
        settings.demand_resend_after = Duration::from_micros(micros.into());
    }
    settings
}
