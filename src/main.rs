//! Entry point of the `curranthollow` binary.

use std::process::ExitCode;

use clap::Parser;
use curranthollow::cli::CliArguments;
use curranthollow::commands;

fn main() -> ExitCode {
    let arguments = CliArguments::parse();
    match commands::run(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            commands::exit_code_of(&error)
        }
    }
}
