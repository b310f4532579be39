//! Cases of the second review: each starts nodes as processes beside stand-ins of the platform, servers and clients.
//!
//! `review-standins-2 CASE FOLDER RECORD`; exit code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod base64;
mod client;
mod fleet;
mod http;
mod json;
mod limit_case;
mod parts_case;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use parts_case::Scene;
use record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let result = Record::create(Path::new(record)).and_then(|record| {
        let result = match case.as_str() {
            "limit" => limit_case::run(folder, &record, has_trouble),
            "parts" => {
                let position = std::env::var("POSITION").ok().and_then(|p| p.parse().ok());
                let scene = Scene {
                    shared: 9,
                    position: position.unwrap_or(10).clamp(1, 10),
                    is_popular: false,
                    slots: 16,
                    events: 8,
                    sound_pause: Duration::from_millis(80),
                    crashing_pause: Duration::from_millis(500),
                };
                parts_case::run(folder, &record, has_trouble, scene)
            }
            "popular" => {
                let scene = Scene {
                    shared: 2,
                    position: 3,
                    is_popular: std::env::var("BEFORE").map_or(true, |v| v != "0"),
                    slots: 8,
                    events: 20,
                    sound_pause: Duration::from_millis(40),
                    crashing_pause: Duration::from_millis(500),
                };
                parts_case::run(folder, &record, has_trouble, scene)
            }
            other => Err(std::io::Error::other(format!("no case {other}"))),
        };
        record.flush();
        result
    });
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
