//! Runs one stand-in server as a process of its own and prints its address.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use async_std::task;
use clap::{Parser, ValueEnum};
use curranthollow::stand_in::{ServiceTime, StandInMode, StandInOptions, StandInServer};

/// Runs one stand-in server until it is killed.
#[derive(Parser)]
struct Arguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of an entry to which the server announces itself; may be repeated.
    #[arg(long = "entry")]
    entries: Vec<SocketAddr>,
    /// Token of the team, which authorizes the announcements.
    #[arg(long, default_value = "")]
    token: Box<str>,
    #[arg(long, default_value = "team")]
    team: Box<str>,
    #[arg(long, default_value = "service")]
    service: Box<str>,
    #[arg(long, default_value = "server-1")]
    server: Box<str>,
    #[arg(long, default_value = "a")]
    availability_zone: Box<str>,
    #[arg(long, default_value_t = 6)]
    slots: usize,
    #[arg(long, default_value_t = 220)]
    connections: usize,
    /// Mean service time in microseconds.
    #[arg(long, default_value_t = 5000)]
    mean_us: u64,
    /// Standard deviation of the logarithm of the service time; 0 makes it fixed.
    #[arg(long, default_value_t = 0.0)]
    sigma: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Incarnation of the server, which must grow with each of its starts.
    #[arg(long, default_value_t = 1)]
    incarnation: u64,
    #[arg(long, value_enum, default_value_t = ModeArgument::Normal)]
    mode: ModeArgument,
    /// Factor by which service times grow in the straggler and cold-start modes.
    #[arg(long, default_value_t = 10.0)]
    factor: f64,
    /// Response status in the fail-fast mode.
    #[arg(long, default_value_t = 500)]
    status: u16,
    /// Duration of the cold start in milliseconds.
    #[arg(long, default_value_t = 2000)]
    cold_ms: u64,
    /// Load that the server announces in the misleading-load mode.
    #[arg(long, default_value_t = 0)]
    load: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum ModeArgument {
    Normal,
    Straggler,
    FailFast,
    Stall,
    ColdStart,
    MisleadingLoad,
    Refuse,
}

impl Arguments {
    fn mode(&self) -> StandInMode {
        match self.mode {
            ModeArgument::Normal => StandInMode::Normal,
            ModeArgument::Straggler => StandInMode::Straggler { factor: self.factor },
            ModeArgument::FailFast => StandInMode::FailFast { status: self.status },
            ModeArgument::Stall => StandInMode::Stall,
            ModeArgument::ColdStart => StandInMode::ColdStart {
                factor: self.factor,
                duration: Duration::from_millis(self.cold_ms),
            },
            ModeArgument::MisleadingLoad => StandInMode::MisleadingLoad { load: self.load },
            ModeArgument::Refuse => StandInMode::Refuse,
        }
    }

    fn service_time(&self) -> ServiceTime {
        let mean = Duration::from_micros(self.mean_us);
        if self.sigma > 0.0 {
            ServiceTime::LogNormal { mean, sigma: self.sigma }
        } else {
            ServiceTime::Fixed(mean)
        }
    }
}

fn main() -> anyhow::Result<()> {
    curranthollow::logging::init(log::LevelFilter::Info);
    let arguments = Arguments::parse();
    let mode = arguments.mode();
    let options = StandInOptions {
        service_time: arguments.service_time(),
        team: arguments.team,
        service: arguments.service,
        server: arguments.server,
        availability_zone: arguments.availability_zone,
        listen: arguments.listen,
        entries: arguments.entries,
        token: arguments.token,
        slots: arguments.slots,
        connections: arguments.connections,
        seed: arguments.seed,
        incarnation: arguments.incarnation,
        heartbeat: Duration::from_secs(1),
    };
    task::block_on(async {
        let server =
            StandInServer::start(options).await.context("cannot start the stand-in server")?;
        server.set_mode(mode);
        println!("{}", server.address());
        std::future::pending::<()>().await;
        Ok(())
    })
}
